package model

import (
	"slices"

	"barleywick/internal/registry"
	"barleywick/internal/testing/modelcheck"
)

// Step is a possible next step of a World.
type Step = modelcheck.Step[*World]

// stepList collects steps. The order and the weights of steps decide what a seed draws.
type stepList struct {
	steps []Step
	actor int // the holder that takes the steps that are added now; -1: no holder
}

func (l *stepList) add(weight int, effect func(w *World), format string, names ...any) {
	s := Step{Format: format, Do: checkedStep(effect), Weight: weight, Actor: l.actor}
	if len(names) > 0 {
		s.A = names[0]
	}
	if len(names) > 1 {
		s.B = names[1]
	}
	l.steps = append(l.steps, s)
}

// addFault adds a step that counts as a fault.
func (l *stepList) addFault(weight int, effect func(w *World), format string, names ...any) {
	l.add(weight, func(w *World) { w.checker.Faults++; effect(w) }, format, names...)
}

// checkedStep returns the action of a step, which checks the invariants after the effect.
func checkedStep(effect func(w *World)) func(w *World) error {
	return func(w *World) error {
		w.checker.Steps++
		effect(w)
		return w.checkInvariants()
	}
}

// Steps lists the possible next steps.
func (w *World) Steps() []Step {
	l := &stepList{steps: make([]Step, 0, 64), actor: -1}
	if w.now < w.EndTime {
		l.add(20, (*World).tick, "tick")
	}
	for i := range w.holders {
		l.actor = i
		w.holderSteps(l, i)
	}
	l.actor = -1
	w.networkSteps(l)
	w.leaderSteps(l)
	return l.steps
}

// canSend reports whether another message may be sent.
func (w *World) canSend() bool { return len(w.network) < w.MaxInFlight }

func (w *World) holderSteps(l *stepList, i int) {
	for j := range w.holders[i].sessions {
		w.sessionSteps(l, i, j)
	}
	if w.restarts < w.MaxRestarts {
		l.addFault(1, func(w *World) { w.restart(i) }, "k%d crashes and restarts", i)
	}
}

// sessionSteps adds the calls that holder i may make for lease j.
func (w *World) sessionSteps(l *stepList, i, j int) {
	s := w.holders[i].sessions[j]
	now := w.holderClock(i)
	switch {
	case !w.canSend():
		return
	case s == nil || s.Ended(now):
		l.add(6, func(w *World) { w.acquireNew(i, j) }, "k%d claims %d", i, j)
		return
	case s.Token() == 0 && w.duplicates < w.MaxDuplicates:
		l.add(2, func(w *World) {
			w.duplicates++
			w.send(acquire, i, j)
		}, "k%d repeats its claim on %d", i, j)
	}
	l.add(10, func(w *World) { w.send(renewal, i, j) }, "k%d renews %d", i, j)
	if s.Held(now) {
		l.add(12, func(w *World) { w.send(write, i, j) }, "k%d writes under %d", i, j)
		l.add(2, func(w *World) {
			w.send(release, i, j)
			w.holders[i].sessions[j].Resign()
		}, "k%d releases %d", i, j)
	}
}

// networkSteps adds the delivery, loss and duplication of messages, and the end of the
// verification of renewals.
func (w *World) networkSteps(l *stepList) {
	for i, m := range w.network {
		l.add(12, func(w *World) { w.deliver(i) }, "%s of k%d arrives", kindNames[m.kind], m.holder)
		if w.losses < w.MaxLosses {
			l.addFault(2, func(w *World) {
				w.losses++
				w.network = slices.Delete(w.network, i, i+1)
			}, "%s of k%d is lost", kindNames[m.kind], m.holder)
		}
		if w.duplicates < w.MaxDuplicates && !m.duplicated && w.canSend() {
			l.addFault(2, func(w *World) {
				w.duplicates++
				w.network[i].duplicated = true
				w.network = append(w.network, w.network[i])
			}, "%s of k%d is duplicated", kindNames[m.kind], m.holder)
		}
	}
	for i, v := range w.verifications {
		l.add(20, func(w *World) { w.finishVerification(i) }, "the renewal of k%d is verified", v.holder)
	}
}

func (w *World) leaderSteps(l *stepList) {
	if w.leader <= w.MaxElections {
		l.addFault(1, (*World).elect, "another leader is elected")
	}
	if w.restores < w.MaxRestores {
		l.addFault(1, func(w *World) {
			w.restores++
			w.mustApply(registry.Command{Op: registry.OpRestore, Backup: w.backup})
			w.expire()
		}, "an old backup is restored")
	}
}
