package remoteadapter

import (
	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
)

// outcomes maps the endings of attempts to outcome codes.
var outcomes = map[policy.Ending]uint16{
	policy.Served:       simwire.OutcomeServed,
	policy.Errored:      simwire.OutcomeErrored,
	policy.Rejected:     simwire.OutcomeRejected,
	policy.TimedOut:     simwire.OutcomeTimedOut,
	policy.NoConnection: simwire.OutcomeNoConnection,
	policy.Broken:       simwire.OutcomeBroken,
	policy.Cancelled:    simwire.OutcomeCancelled,
	policy.NotSent:      simwire.OutcomeNotSent,
}

// fleetKinds maps the kinds of list updates to kinds of Fleet events.
var fleetKinds = map[policy.ListKind]uint8{
	policy.ListFull:   simwire.FleetFull,
	policy.ListDelta:  simwire.FleetDelta,
	policy.ListCached: simwire.FleetCached,
	policy.ListFailed: simwire.FleetFailed,
}

// statuses maps the states of endpoints to status values of list entries.
var statuses = map[policy.EndpointState]uint8{
	policy.Removed:  simwire.StatusGone,
	policy.Draining: simwire.StatusDraining,
	policy.Ready:    simwire.StatusReady,
}

// entries converts an endpoint list.
func entries(endpoints []policy.Endpoint) []simwire.Entry {
	list := make([]simwire.Entry, len(endpoints))
	for i, e := range endpoints {
		list[i] = simwire.Entry{
			Upstream: simwire.Upstream(e.ID), Area: uint8(e.Zone), Cohort: uint16(e.Cell), Status: statuses[e.State],
			Rating: e.Weight, Boot: e.Started,
		}
	}
	return list
}

// loadReport converts a load report; the columns are in the order of the emulator's settings.
func loadReport(l policy.LoadReport) simwire.LoadReport {
	return simwire.LoadReport{
		Count: 3, Values: [4]float32{float32(l.Queued), float32(l.Utilization), float32(l.ServedPerSecond)},
	}
}
