package model

import (
	"fmt"
	"math/rand/v2"

	"barleywick/internal/rollout"
	"barleywick/internal/testing/modelcheck"
)

// settleRounds is the number of rounds of calls without faults after which the world must have settled.
const settleRounds = 30

// Walk takes steps drawn from a seed. Then all faults end, and after settleRounds all
// sidecars have to apply one policy, with no change in progress.
func Walk(s Setup, seed uint64, steps int) (Counts, *modelcheck.Violation) {
	walker := &modelcheck.Walker[*World]{World: New(s)}
	violation := walker.Walk(rand.New(rand.NewPCG(seed, 6)), steps, s.Sidecars)
	if violation == nil {
		violation = (&settler{walker, walker.World}).settle()
	}
	return walker.World.checker.Counts, violation
}

// settler continues a walk without faults.
type settler struct {
	walker *modelcheck.Walker[*World]
	world  *World
}

func (s *settler) settle() *modelcheck.Violation {
	for range settleRounds {
		if violation := s.runRound(); violation != nil {
			return violation
		}
		s.world.nowMS += tickMS / 5
	}
	if err := s.world.checkSettled(); err != nil {
		return s.walker.Violation(err)
	}
	return nil
}

// runRound starts the sidecars that are down, makes each sidecar call, delivers all messages and
// lets each leader decide.
func (s *settler) runRound() *modelcheck.Violation {
	w := s.world
	for i, sidecar := range w.sidecars {
		if !sidecar.up {
			if violation := s.take("a sidecar that is down starts", func(w *World) { w.start(i) }); violation != nil {
				return violation
			}
		}
		if !sidecar.calling {
			if violation := s.take("a sidecar calls", func(w *World) { w.call(i) }); violation != nil {
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
		if violation := s.take("a leader reads and decides", func(w *World) { w.decideAndApply(i) }); violation != nil {
			return violation
		}
	}
	return nil
}

// take performs one step of the settling and checks the invariants. The step is listed in a
// violation, but not added to Counts.Steps.
func (s *settler) take(name string, effect func(w *World)) *modelcheck.Violation {
	return s.walker.Take(Step{Format: name, Do: func(w *World) error {
		effect(w)
		return w.checkInvariants()
	}})
}

// decideAndApply makes a leader read the status and apply its decision.
func (w *World) decideAndApply(i int) {
	w.leaders[i] = w.state.Status()
	if c, ok := rollout.Decide(w.leaders[i], w.nowMS); ok {
		w.apply(c)
	}
}

// checkSettled checks that no change is in progress, and that all sidecars that can start apply
// the policy in force.
func (w *World) checkSettled() error {
	status := w.state.Status()
	if status.Stage != rollout.StageSettled {
		return fmt.Errorf("change %d is still %s and waits for %v, want it ended", status.Change.Number, status.Stage, status.WaitingFor)
	}
	for i, s := range w.sidecars {
		if s.limited && exceedsLimit(status.Document) {
			continue // it cannot start
		}
		if !s.acting || s.active.Epoch != status.Epoch || s.active.JointChange != 0 {
			return fmt.Errorf("n%d: got epoch %d, joint change %d, applying a policy %v; want epoch %d, no joint change (0), true", i, s.active.Epoch, s.active.JointChange, s.acting, status.Epoch)
		}
	}
	return nil
}
