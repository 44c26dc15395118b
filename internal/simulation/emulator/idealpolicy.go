package emulator

import (
	"fmt"
	"time"

	"barleywick/policy"
)

// An ideal policy provides all sidecars with a fact that they could not measure exactly, without delay or
// cost. The result of such a run bounds what can be gained by measuring the fact.
const (
	idealLoad      = "load"      // number of requests in flight at each server
	idealAdmission = "admission" // fraction of the requests that the servers can serve
)

// idealInterval is much shorter than the time in which a queue builds up.
const idealInterval = 100 * time.Millisecond

func checkIdealPolicy(name string) error {
	switch name {
	case "", idealLoad, idealAdmission:
		return nil
	}
	return fmt.Errorf("scenario: oracle is %q, want %s or %s", name, idealLoad, idealAdmission)
}

// sendIdealInformation periodically sends the ideal policy's fact to all sidecars.
func (s *Sim) sendIdealInformation() {
	switch s.scenario.IdealPolicy {
	case idealLoad:
		for _, sv := range s.Servers {
			inFlight := float64(len(sv.running) + len(sv.queue))
			for _, n := range s.nodes {
				if n.up && sv.Alive && !sv.Unreachable && s.reachable(n.zone, sv.Zone) {
					n.decider.Probed(s.now, policy.ServerID(sv.Index+1), true, policy.LoadReport{InFlight: inFlight, Queued: -1, Utilization: -1, ServedPerSecond: -1})
				}
			}
		}
	case idealAdmission:
		available, requested := 0.0, s.scenario.meanWork()*s.scenario.Rate()*s.clients.arrivals.rateAt(s.now-StartTime)
		for _, sv := range s.Servers {
			waiting, capacity := sv.State(s.now)
			available += max(0, capacity-float64(waiting)*s.scenario.meanWork()) // queued work is served first
		}
		share := min(1, available/max(requested, 1e-9))
		shares := make([]float64, len(s.scenario.Tenants))
		for i := range shares {
			shares[i] = share
		}
		for _, n := range s.nodes {
			if d, accepts := n.decider.(adviceReceiver); accepts && n.up {
				d.Advise(s.now, policy.OverloadAdvice{AdmittedShares: shares, ValidFor: 2 * time.Second})
			}
		}
	default:
		return
	}
	s.after(idealInterval, s.sendIdealInformation)
}
