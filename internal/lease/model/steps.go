package model

import (
	"fmt"
	"slices"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/testing/modelcheck"
)

// Step is one thing that may happen next.
type Step = modelcheck.Step[*World]

// checkedStep makes a step's act of what changes the world; the judge looks after it.
func checkedStep(do func(w *World)) func(w *World) error {
	return func(w *World) error {
		w.checker.Steps++
		do(w)
		return w.checkInvariants()
	}
}

// Steps lists what may happen next.
func (w *World) Steps() []Step {
	all := make([]Step, 0, 64)
	put := func(weight int, fault bool, do func(w *World), format string, names ...any) {
		one := Step{Format: format, Do: checkedStep(do), Weight: weight, Actor: -1}
		if fault {
			one.Do = checkedStep(func(w *World) { w.checker.Faults++; do(w) })
		}
		if len(names) > 0 {
			one.A = names[0]
		}
		if len(names) > 1 {
			one.B = names[1]
		}
		all = append(all, one)
	}
	add := func(weight int, do func(w *World), format string, names ...any) {
		put(weight, false, do, format, names...)
	}
	fault := func(weight int, do func(w *World), format string, names ...any) {
		put(weight, true, do, format, names...)
	}
	if w.now < w.EndTime {
		add(20, func(w *World) { w.now += w.Tick; w.expire() }, "tick")
	}
	room := len(w.network) < w.MaxInFlight
	for i, h := range w.holders {
		from := len(all)
		for j, t := range h.sessions {
			switch {
			case t == nil || t.Ended(w.holderClock(i)):
				if room {
					add(6, func(w *World) { w.acquireNew(i, j) }, "k%d asks for %d", i, j)
				}
			case room && t.Token() == 0 && w.duplicates < w.MaxDuplicates:
				add(2, func(w *World) {
					w.duplicates++
					w.send(acquire, i, j)
				}, "k%d asks again for %d", i, j)
			}
			if t != nil && !t.Ended(w.holderClock(i)) && room {
				add(10, func(w *World) { w.send(renewal, i, j) }, "k%d renews %d", i, j)
			}
			if t != nil && t.Held(w.holderClock(i)) && room {
				add(12, func(w *World) { w.send(write, i, j) }, "k%d writes under %d", i, j)
				add(2, func(w *World) {
					w.send(release, i, j)
					w.holders[i].sessions[j].Resign()
				}, "k%d gives %d up", i, j)
			}
		}
		if w.restarts < w.MaxRestarts {
			fault(1, func(w *World) { w.restart(i) }, "k%d is killed and starts again", i)
		}
		for k := from; k < len(all); k++ {
			all[k].Actor = i
		}
	}
	for i, m := range w.network {
		add(12, func(w *World) { w.deliver(i) }, "%s of k%d comes", kindNames[m.kind], m.holder)
		if w.losses < w.MaxLosses {
			fault(2, func(w *World) {
				w.losses++
				w.network = slices.Delete(w.network, i, i+1)
			}, "%s of k%d is lost", kindNames[m.kind], m.holder)
		}
		if w.duplicates < w.MaxDuplicates && !m.duplicated && room {
			fault(2, func(w *World) {
				w.duplicates++
				w.network[i].duplicated = true
				w.network = append(w.network, w.network[i])
			}, "%s of k%d is doubled", kindNames[m.kind], m.holder)
		}
	}
	for i, c := range w.verifications {
		add(20, func(w *World) { w.finishVerification(i) }, "the renewal of k%d is checked", c.holder)
	}
	if w.leader <= w.MaxElections {
		fault(1, func(w *World) { w.elect() }, "another leads")
	}
	if w.restores < w.MaxRestores {
		fault(1, func(w *World) {
			w.restores++
			w.mustApply(registry.Command{Op: registry.OpRestore, Backup: w.backup})
			w.expire()
		}, "an old backup is restored")
	}
	return all
}

// acquireNew makes a new claim.
func (w *World) acquireNew(i, j int) {
	h := w.holders[i]
	w.claimCount++
	h.sessions[j] = &lease.Session{LeaseName: leaseName(j), ClaimID: fmt.Sprintf("claim-%05d", w.claimCount), Holder: h.identity, TTL: w.TTL}
	w.send(acquire, i, j)
}

// restart lets a process forget all it knew.
func (w *World) restart(i int) {
	w.restarts++
	h := w.holders[i]
	h.identity.Incarnation = uint64(2 + w.restarts) // later than any before
	h.sessions = make([]*lease.Session, w.Leases)
}
