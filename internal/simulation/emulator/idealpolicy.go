package emulator

import (
	"fmt"
	"time"

	"barleywick/policy"
)

// An oracle tells each sidecar one thing that it cannot know, at once and for nothing:
// what that is worth bounds what may be gained by finding it out.
const (
	idealLoad      = "load"      // how many requests each server holds
	idealAdmission = "admission" // what part of all that is asked the servers bear
)

// idealInterval is how often it tells: well under the time that a queue takes to come.
const idealInterval = 100 * time.Millisecond

func checkIdealPolicy(name string) error {
	switch name {
	case "", idealLoad, idealAdmission:
		return nil
	}
	return fmt.Errorf("scenario: oracle is %q; there are %s and %s", name, idealLoad, idealAdmission)
}

// informIdeally tells all sidecars, again and again.
func (s *Sim) informIdeally() {
	switch s.scenario.IdealPolicy {
	case idealLoad:
		for _, sv := range s.Servers {
			held := float64(len(sv.running) + len(sv.queue))
			for _, n := range s.nodes {
				if n.up && sv.Alive && !sv.Unreachable && s.reachable(n.zone, sv.Zone) {
					n.decider.Probed(s.now, policy.ServerID(sv.Index+1), true, policy.LoadReport{InFlight: held, Queued: -1, Utilization: -1, ServedPerSecond: -1})
				}
			}
		}
	case idealAdmission:
		bears, asked := 0.0, s.scenario.meanWork()*s.scenario.Rate()*s.clients.arrivals.rateAt(s.now-StartTime)
		for _, sv := range s.Servers {
			waiting, capacity := sv.State(s.now)
			bears += max(0, capacity-float64(waiting)*s.scenario.meanWork()) // what waits comes first
		}
		part := min(1, bears/max(asked, 1e-9))
		parts := make([]float64, len(s.scenario.Tenants))
		for i := range parts {
			parts[i] = part
		}
		for _, n := range s.nodes {
			if d, takes := n.decider.(adviceTaker); takes && n.up {
				d.Advise(s.now, policy.OverloadAdvice{AdmittedShares: parts, ValidFor: 2 * time.Second})
			}
		}
	default:
		return
	}
	s.after(idealInterval, s.informIdeally)
}
