package emulator

import (
	"fmt"
	"time"

	"barleywick/policy"
)

// An oracle tells each sidecar one thing that it cannot know, at once and for nothing:
// what that is worth bounds what may be gained by finding it out.
const (
	oracleLoad      = "load"      // how many requests each server holds
	oracleAdmission = "admission" // what part of all that is asked the servers bear
)

// oracleEvery is how often it tells: well under the time that a queue takes to come.
const oracleEvery = 100 * time.Millisecond

func checkOracle(name string) error {
	switch name {
	case "", oracleLoad, oracleAdmission:
		return nil
	}
	return fmt.Errorf("scenario: oracle is %q; there are %s and %s", name, oracleLoad, oracleAdmission)
}

// foresee tells all sidecars, again and again.
func (s *Sim) foresee() {
	switch s.sc.Oracle {
	case oracleLoad:
		for _, sv := range s.Servers {
			held := float64(len(sv.running) + len(sv.queue))
			for _, n := range s.nodes {
				if n.up && sv.Alive && !sv.Silent && s.reach(n.zone, sv.Zone) {
					n.b.Probed(s.now, policy.ServerID(sv.Index+1), true, policy.LoadReport{InFlight: held, Queued: -1, Utilization: -1, ServedPerSecond: -1})
				}
			}
		}
	case oracleAdmission:
		bears, asked := 0.0, s.sc.meanWork()*s.sc.Rate()*s.clients.arrivals.level(s.now-Dawn)
		for _, sv := range s.Servers {
			waiting, capacity := sv.State(s.now)
			bears += max(0, capacity-float64(waiting)*s.sc.meanWork()) // what waits comes first
		}
		part := min(1, bears/max(asked, 1e-9))
		parts := make([]float64, len(s.sc.Tenants))
		for i := range parts {
			parts[i] = part
		}
		for _, n := range s.nodes {
			if d, takes := n.b.(advised); takes && n.up {
				d.Advise(s.now, policy.OverloadAdvice{AdmittedShares: parts, ValidFor: 2 * time.Second})
			}
		}
	default:
		return
	}
	s.after(oracleEvery, s.foresee)
}
