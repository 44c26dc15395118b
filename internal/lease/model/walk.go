package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"barleywick/internal/testing/modelcheck"
)

// settleEvery is the number of walks to one that continues without faults until all leases
// are held, since that takes several times the steps of the walk itself.
const settleEvery = 10

// Walk takes a number of steps that are drawn from a seed. Some walks then continue without
// faults, after which each lease has to be held.
func Walk(s Setup, seed uint64, steps int) (Counts, *modelcheck.Violation) {
	rng := rand.New(rand.NewPCG(seed, 5))
	if s.ClockRates == nil {
		for range s.Holders + 1 {
			s.ClockRates = append(s.ClockRates, 950+rng.Int64N(101)) // up to a twentieth off
		}
	}
	walker := &modelcheck.Walker[*World]{World: New(s)}
	violation := walker.Walk(rng, steps, s.Holders)
	if violation == nil && seed%settleEvery == 0 {
		violation = (&settler{walker, walker.World}).settle()
	}
	return walker.World.checker.Counts, violation
}

// settler continues a walk without faults.
type settler struct {
	walker *modelcheck.Walker[*World]
	world  *World
}

// settle advances time while each call arrives and each holder renews. All leases have to be
// held after the time to live of the last holder and of each queued holder that has ended.
func (s *settler) settle() *modelcheck.Violation {
	w := s.world
	limit := w.TTL * time.Duration(2+w.Holders)
	w.EndTime = w.now + limit
	for w.now < w.EndTime {
		for holder := range w.holders {
			for lease := range w.Leases {
				if violation := s.claimAndRenew(holder, lease); violation != nil {
					return violation
				}
			}
		}
		if violation := s.take((*World).tick, "tick"); violation != nil {
			return violation
		}
	}
	for lease := range w.Leases {
		if !w.held(lease) {
			return s.walker.Violation(fmt.Errorf("lease %d has no holder %v after the last fault", lease, limit))
		}
	}
	return nil
}

// claimAndRenew makes a holder claim a lease, if it has no claim, and renew the claim.
func (s *settler) claimAndRenew(holder, lease int) *modelcheck.Violation {
	var violation *modelcheck.Violation
	switch session := s.world.holders[holder].sessions[lease]; {
	case session == nil || session.Ended(s.world.holderClock(holder)):
		violation = s.take(func(w *World) { w.acquireNew(holder, lease) }, "k%d claims %d", holder, lease)
	case session.Token() == 0: // the first call may have been lost
		violation = s.take(func(w *World) { w.send(acquire, holder, lease) }, "k%d repeats its claim on %d", holder, lease)
	}
	if violation != nil {
		return violation
	}
	if violation := s.deliverAll(); violation != nil {
		return violation
	}
	if violation := s.take(func(w *World) { w.send(renewal, holder, lease) }, "k%d renews %d", holder, lease); violation != nil {
		return violation
	}
	return s.deliverAll()
}

// deliverAll delivers all messages and the answers to them.
func (s *settler) deliverAll() *modelcheck.Violation {
	for len(s.world.network) > 0 || len(s.world.verifications) > 0 {
		effect := func(w *World) { w.deliver(0) }
		if len(s.world.network) == 0 {
			effect = func(w *World) { w.finishVerification(0) }
		}
		if violation := s.take(effect, "a message or verification in flight completes"); violation != nil {
			return violation
		}
	}
	return nil
}

func (s *settler) take(effect func(w *World), format string, names ...any) *modelcheck.Violation {
	l := &stepList{actor: -1}
	l.add(0, effect, format, names...)
	return s.walker.Take(l.steps[0])
}

// held reports whether some process holds a lease.
func (w *World) held(lease int) bool {
	for i, h := range w.holders {
		if h.sessions[lease].Held(w.holderClock(i)) {
			return true
		}
	}
	return false
}
