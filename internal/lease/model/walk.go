package model

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"barleywick/internal/testing/modelcheck"
)

// settleEvery is of how many walks one goes on until all has settleEvery, which takes several
// times the steps of the walk.
const settleEvery = 10

// Walk takes so many steps drawn from a seed. Some walks go on without faults then: by
// the end of that each lease has to be somebody's.
func Walk(s Setup, seed uint64, steps int) (Counts, *modelcheck.Violation) {
	rng := rand.New(rand.NewPCG(seed, 5))
	if s.ClockRates == nil {
		for range s.Holders + 1 {
			s.ClockRates = append(s.ClockRates, 950+rng.Int64N(101)) // a twentieth off either way
		}
	}
	k := &modelcheck.Walker[*World]{World: New(s)}
	found := k.Walk(rng, steps, s.Holders)
	if found == nil && seed%settleEvery == 0 {
		found = settle(k)
	}
	return k.World.checker.Counts, found
}

// settle lets time pass without faults, each call arriving and each holder renewing:
// within a bound every lease is held, which is the time to live once for who held it
// and once for each that waited and is gone.
func settle(k *modelcheck.Walker[*World]) *modelcheck.Violation {
	w := k.World
	bound := w.TTL * time.Duration(2+w.Holders)
	w.EndTime = w.now + bound
	do := func(format string, i, j int, f func(w *World)) *modelcheck.Violation {
		return k.Take(Step{Format: format, A: i, B: j, Do: checkedStep(f)})
	}
	arrive := func() *modelcheck.Violation {
		for len(w.network) > 0 || len(w.verifications) > 0 {
			act := func(w *World) { w.deliver(0) }
			if len(w.network) == 0 {
				act = func(w *World) { w.finishVerification(0) }
			}
			if f := k.Take(Step{Format: "what is under way comes", Do: checkedStep(act)}); f != nil {
				return f
			}
		}
		return nil
	}
	for w.now < w.EndTime {
		for i, h := range w.holders {
			for j, t := range h.sessions {
				var f *modelcheck.Violation
				switch {
				case t == nil || t.Ended(w.holderClock(i)):
					f = do("k%d asks for %d", i, j, func(w *World) { w.acquireNew(i, j) })
				case t.Token() == 0: // the first call may have been lost
					f = do("k%d asks again for %d", i, j, func(w *World) { w.send(acquire, i, j) })
				}
				f = cmp.Or(f, arrive(), do("k%d renews %d", i, j, func(w *World) { w.send(renewal, i, j) }), arrive())
				if f != nil {
					return f
				}
			}
		}
		if f := k.Take(Step{Format: "tick", Do: checkedStep(func(w *World) { w.now += w.Tick; w.expire() })}); f != nil {
			return f
		}
	}
	for j := range w.Leases {
		if !slices.ContainsFunc(w.holders, func(h *holder) bool { return h.sessions[j].Held(w.holderClock(slices.Index(w.holders, h))) }) {
			return k.Violation(fmt.Errorf("lease %d is nobody's %v after the last fault", j, bound))
		}
	}
	return nil
}
