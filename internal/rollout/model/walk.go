package model

import (
	"fmt"
	"math/rand/v2"

	"barleywick/internal/rollout"
	"barleywick/internal/testing/modelcheck"
)

// Walk takes steps drawn from a seed; then all faults end, and within a bound all acts
// are by one policy, and no change is under way.
func Walk(s Setup, seed uint64, steps int) (Counts, *modelcheck.Violation) {
	k := &modelcheck.Walker[*World]{World: New(s)}
	f := k.Walk(rand.New(rand.NewPCG(seed, 6)), steps, s.Sidecars)
	if f == nil {
		f = settle(k)
	}
	return k.World.checker.Counts, f
}

// settleRounds is in how many settleRounds of calls all settles.
const settleRounds = 30

func settle(k *modelcheck.Walker[*World]) *modelcheck.Violation {
	w := k.World
	take := func(format string, do func(w *World)) *modelcheck.Violation {
		return k.Take(Step{Format: format, Do: func(w *World) error { do(w); return w.checkInvariants() }})
	}
	for range settleRounds {
		for i, s := range w.sidecars {
			if !s.up {
				if f := take("one that is down starts", func(w *World) { w.start(i) }); f != nil {
					return f
				}
			}
			if !s.calling {
				if f := take("one speaks", func(w *World) { w.call(i) }); f != nil {
					return f
				}
			}
		}
		for len(w.network) > 0 {
			if f := take("a message comes", func(w *World) { w.deliver(0) }); f != nil {
				return f
			}
		}
		for i := range w.leaders {
			if f := take("a leader reads and steps", func(w *World) {
				w.leaders[i] = w.state.Status()
				if c, any := rollout.Decide(w.leaders[i], w.now); any {
					w.state.Apply(c)
				}
			}); f != nil {
				return f
			}
		}
		w.now += tick / 5
	}
	st := w.state.Status()
	if st.Stage != rollout.StageSettled {
		return k.Violation(fmt.Errorf("change %d is still %s, it waits for %v", st.Change.Number, st.Stage, st.WaitingFor))
	}
	for i, s := range w.sidecars {
		if s.limited && st.Document != nil && st.Document.Tenants[0].Slots > 100 {
			continue // it starts in vain
		}
		if !s.acting || s.active.Epoch != st.Epoch || s.active.JointChange != 0 {
			return k.Violation(fmt.Errorf("n%d acts by epoch %d (joint with %d, acting %v) when epoch %d has settled", i, s.active.Epoch, s.active.JointChange, s.acting, st.Epoch))
		}
	}
	return nil
}
