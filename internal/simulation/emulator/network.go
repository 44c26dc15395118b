package emulator

import (
	"time"

	"barleywick/policy"
)

// reply sends the outcome of an attempt back to its sidecar.
func (s *Sim) reply(sv *Server, a *attempt, end policy.Ending) {
	n, epoch := a.request.node, a.request.epoch
	if !s.reachable(n.zone, sv.Zone) || sv.Unreachable {
		return // the reply is lost; the attempt times out
	}
	s.after(s.delay(n.zone, sv.Zone), func() {
		if n.epoch == epoch {
			n.endAttempt(a, end)
		}
	})
}

// reachable reports whether two zones can exchange messages.
func (s *Sim) reachable(a, b int) bool { return a == b || s.partitioned[a]+s.partitioned[b] == 0 }

// delay draws the one-way delay of a message.
func (s *Sim) delay(a, b int) time.Duration {
	d := time.Duration(s.scenario.Network.NearDelay)
	if a != b {
		d = time.Duration(s.scenario.Network.FarDelay)
	}
	return time.Duration(float64(d) * (1 + s.scenario.Network.Jitter*(2*s.feedback.Float64()-1)))
}
