package simadapter

import (
	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
)

// listKinds maps the kinds of Fleet events to kinds of list updates.
var listKinds = map[uint8]policy.ListKind{
	simwire.FleetFull:   policy.ListFull,
	simwire.FleetDelta:  policy.ListDelta,
	simwire.FleetCached: policy.ListCached,
	simwire.FleetFailed: policy.ListFailed,
}

// endingFromCode converts an outcome code. An unknown code counts as an error, after which the request
// may have run.
func endingFromCode(code uint16) policy.Ending {
	switch code {
	case simwire.OutcomeServed:
		return policy.Served
	case simwire.OutcomeRejected:
		return policy.Rejected
	case simwire.OutcomeTimedOut:
		return policy.TimedOut
	case simwire.OutcomeNoConnection:
		return policy.NoConnection
	case simwire.OutcomeBroken:
		return policy.Broken
	case simwire.OutcomeCancelled:
		return policy.Cancelled
	case simwire.OutcomeNotSent:
		return policy.NotSent
	}
	return policy.Errored
}

// endpointState converts the status of a list entry. A server with an unknown status counts as draining:
// it gets no new requests.
func endpointState(status uint8) policy.EndpointState {
	switch status {
	case simwire.StatusReady:
		return policy.Ready
	case simwire.StatusGone:
		return policy.Removed
	}
	return policy.Draining
}

// endpoints converts an endpoint list.
func endpoints(entries []simwire.Entry) []policy.Endpoint {
	list := make([]policy.Endpoint, len(entries))
	for i, e := range entries {
		list[i] = policy.Endpoint{
			ID: policy.ServerID(e.Upstream), Zone: int(e.Area), Cell: int(e.Cohort), State: endpointState(e.Status),
			Weight: e.Rating, Started: e.Boot,
		}
	}
	return list
}
