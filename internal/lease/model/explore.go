package model

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/modelcheck"
)

// Key tells states apart: two with the same key have the same future. Times stand
// relative to now and tokens relative to the last one, so that states meet again.
func (w *World) Key(text []byte) []byte {
	last := w.state.Leases().LastToken()
	ids := make(map[string]int) // claims by the order in which they are met
	id := func(claim string) int {
		if _, ok := ids[claim]; !ok {
			ids[claim] = len(ids)
		}
		return ids[claim]
	}
	token := func(t uint64) uint64 {
		if t == 0 {
			return 0
		}
		return last - t + 1
	}
	text = fmt.Appendln(text, w.now, w.leader, w.duplicates, w.losses, w.restores, w.restarts)
	for i, h := range w.holders {
		now := w.holderClock(i)
		text = fmt.Appendln(text, h.identity)
		for _, t := range h.sessions {
			if t == nil || t.Ended(now) {
				text = append(text, '-')
				continue
			}
			text = fmt.Appendln(text, id(t.ClaimID), token(t.Token()), max(-1, t.Deadline()-now), t.Age(now))
		}
	}
	all, _ := w.state.Leases().List()
	for _, l := range all {
		text = append(text, l.Name...)
		if g := l.Grant; g != nil {
			text = fmt.Appendln(text, "held", id(g.ID), token(g.Token), g.Holder)
		}
		for _, c := range l.Queue {
			text = fmt.Appendln(text, "waits", id(c.ID), c.Holder)
		}
	}
	lines := make([]string, 0, len(w.network)+len(w.verifications))
	for _, m := range w.network {
		ago := w.holderClock(m.holder) - m.sentAt
		if m.kind != renewal && m.kind != answer || m.toAcquire {
			ago = 0 // only what a renewal's answer carries is counted from
		}
		lines = append(lines, fmt.Sprintln("m", m.kind, m.holder, m.lease, id(m.claim.ID), m.claim.Incarnation, ago, token(m.token), token(m.answer.Token), m.answer.Ended, m.answer.QueuePosition > 0, m.toAcquire, m.duplicated))
	}
	for _, c := range w.verifications {
		lines = append(lines, fmt.Sprintln("v", c.holder, c.lease, id(c.claim.ID), c.claim.Incarnation, w.holderClock(c.holder)-c.sentAt, w.leaderClock().Sub(c.receivedAt), w.leader-c.leader))
	}
	slices.Sort(lines)
	for _, l := range lines {
		text = append(text, l...)
	}
	w.clock.Visit(w.leaderClock(), func(k registry.ClaimRef, line string) {
		text = fmt.Appendln(text, k.Lease, id(k.ClaimID), line)
	})
	for _, t := range w.checker.newestToken {
		text = fmt.Appendln(text, token(t))
	}
	return text
}

// Search tries every choice from a world on. It returns what was judged on the way, too.
func Search(s Setup, depth, most int) (states, full int, seen Counts, found *modelcheck.Found) {
	states, full, found = modelcheck.Search(New(s), depth, most, func(w *World) {
		seen.add(w.checker.Counts)
		w.checker.Counts = Counts{}
	})
	return states, full, seen, found
}

func (c *Counts) add(d Counts) {
	c.Steps += d.Steps
	c.Grants += d.Grants
	c.Acts += d.Acts
	c.Writes += d.Writes
	c.Refused += d.Refused
	c.Faults += d.Faults
}

// settleEvery is of how many walks one goes on until all has settleEvery, which takes several
// times the steps of the walk.
const settleEvery = 10

// Walk takes so many steps drawn from a seed. Some walks go on without faults then: by
// the end of that each lease has to be somebody's.
func Walk(s Setup, seed uint64, steps int) (Counts, *modelcheck.Found) {
	rng := rand.New(rand.NewPCG(seed, 5))
	if s.ClockRates == nil {
		for range s.Holders + 1 {
			s.ClockRates = append(s.ClockRates, 950+rng.Int64N(101)) // a twentieth off either way
		}
	}
	k := &modelcheck.Walker[*World]{W: New(s)}
	found := k.Walk(rng, steps, s.Holders)
	if found == nil && seed%settleEvery == 0 {
		found = settle(k)
	}
	return k.W.checker.Counts, found
}

// settle lets time pass without faults, each call arriving and each holder renewing:
// within a bound every lease is held, which is the time to live once for who held it
// and once for each that waited and is gone.
func settle(k *modelcheck.Walker[*World]) *modelcheck.Found {
	w := k.W
	bound := w.TTL * time.Duration(2+w.Holders)
	w.EndTime = w.now + bound
	do := func(format string, i, j int, f func(w *World)) *modelcheck.Found {
		return k.Take(Step{Format: format, A: i, B: j, Do: checkedStep(f)})
	}
	arrive := func() *modelcheck.Found {
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
				var f *modelcheck.Found
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
			return k.Found(fmt.Errorf("lease %d is nobody's %v after the last fault", j, bound))
		}
	}
	return nil
}
