package model

import (
	"fmt"
	"math/rand/v2"

	"barleywick/internal/rollout"
	"barleywick/internal/testing/modelcheck"
)

// settleRounds is the number of rounds of calls without faults in which all has to settle.
const settleRounds = 30

// Walk takes steps drawn from a seed. Then all faults end, and after settleRounds all
// sidecars have to act by one policy, with no change on its way.
func Walk(s Setup, seed uint64, steps int) (Counts, *modelcheck.Violation) {
	walker := &modelcheck.Walker[*World]{World: New(s)}
	violation := walker.Walk(rand.New(rand.NewPCG(seed, 6)), steps, s.Sidecars)
	if violation == nil {
		violation = (&settler{walker, walker.World}).settle()
	}
	return walker.World.checker.Counts, violation
}

// settler goes on with a walk without faults.
type settler struct {
	walker *modelcheck.Walker[*World]
	world  *World
}

func (s *settler) settle() *modelcheck.Violation {
	for range settleRounds {
		if violation := s.round(); violation != nil {
			return violation
		}
		s.world.nowMS += tickMS / 5
	}
	if err := s.world.checkSettled(); err != nil {
		return s.walker.Violation(err)
	}
	return nil
}

// round has each sidecar call, each message arrive and each leader decide.
func (s *settler) round() *modelcheck.Violation {
	w := s.world
	for i, sidecar := range w.sidecars {
		if !sidecar.up {
			if violation := s.take("one that is down starts", func(w *World) { w.start(i) }); violation != nil {
				return violation
			}
		}
		if !sidecar.calling {
			if violation := s.take("one calls", func(w *World) { w.call(i) }); violation != nil {
				return violation
			}
		}
	}
	for len(w.network) > 0 {
		if violation := s.take("a message arrives", func(w *World) { w.deliver(0) }); violation != nil {
			return violation
		}
	}
	for i := range w.leaders {
		if violation := s.take("a leader reads and decides", func(w *World) { w.lead(i) }); violation != nil {
			return violation
		}
	}
	return nil
}

// take takes a step, which does not count as one of the walk.
func (s *settler) take(name string, do func(w *World)) *modelcheck.Violation {
	return s.walker.Take(Step{Format: name, Do: func(w *World) error {
		do(w)
		return w.checkInvariants()
	}})
}

// lead has a leader read the status and carry out its decision.
func (w *World) lead(i int) {
	w.leaders[i] = w.state.Status()
	if c, any := rollout.Decide(w.leaders[i], w.nowMS); any {
		w.apply(c)
	}
}

// checkSettled checks that no change is on its way, and that all sidecars which can start
// act by the policy in force.
func (w *World) checkSettled() error {
	status := w.state.Status()
	if status.Stage != rollout.StageSettled {
		return fmt.Errorf("change %d is still %s, it waits for %v", status.Change.Number, status.Stage, status.WaitingFor)
	}
	for i, s := range w.sidecars {
		if s.limited && exceedsLimit(status.Document) {
			continue // it cannot start
		}
		if !s.acting || s.active.Epoch != status.Epoch || s.active.JointChange != 0 {
			return fmt.Errorf("n%d acts by epoch %d (joint with %d, acting %v) when epoch %d has settled", i, s.active.Epoch, s.active.JointChange, s.acting, status.Epoch)
		}
	}
	return nil
}
