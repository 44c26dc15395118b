package model

import (
	"fmt"
	"slices"

	"barleywick/internal/rollout"
	"barleywick/internal/testing/modelcheck"
)

// Step is one thing that may happen next.
type Step = modelcheck.Step[*World]

// Steps lists what may happen next.
func (w *World) Steps() []Step {
	all := make([]Step, 0, 32)
	add := func(weight, of int, format string, a any, do func(w *World)) {
		all = append(all, Step{Format: format, A: a, Weight: weight, Actor: of, Do: func(w *World) error {
			w.checker.Steps++
			do(w)
			return w.checkInvariants()
		}})
	}
	// limited is what may happen so many times.
	limited := func(what string, most int, may bool, weight, of int, format string, a any, do func(w *World)) {
		if may && w.counts[what] < most {
			add(weight, of, format, a, func(w *World) {
				w.counts[what]++
				w.checker.Faults++
				do(w)
			})
		}
	}
	room := len(w.network) < w.MaxInFlight
	st := w.state.Status()
	for i, s := range w.sidecars {
		if !s.up {
			add(4, i, "n%d starts", i, func(w *World) { w.start(i) })
			limited("evict", w.MaxEvictions, slices.ContainsFunc(st.Roster, func(m rollout.RosterMember) bool { return m.Name == s.self.Name }), 1, -1, "n%d is evicted", i, func(w *World) {
				w.state.Apply(rollout.Command{Op: rollout.OpEvict, Member: w.sidecars[i].self})
			})
			continue
		}
		if room && !s.calling {
			add(8, i, "n%d speaks", i, func(w *World) { w.call(i) })
		}
		limited("restart", w.MaxRestarts, true, 1, i, "n%d is killed", i, func(w *World) { w.sidecars[i].up, w.sidecars[i].acting = false, false })
		limited("goodbye", w.MaxLeaves, room, 1, i, "n%d says goodbye and ends", i, func(w *World) {
			s := w.sidecars[i]
			s.up, s.acting = false, false
			w.network = append(w.network, message{kind: request, sender: i, self: s.self, command: rollout.Command{Op: rollout.OpLeave, Member: s.self}})
		})
	}
	for i, m := range w.network {
		add(10, -1, "a message (%v) comes", m.kind, func(w *World) { w.deliver(i) })
		limited("loss", w.MaxLosses, true, 2, -1, "a message (%v) is lost", m.kind, func(w *World) {
			m := w.network[i]
			w.network = slices.Delete(w.network, i, i+1)
			if s := w.sidecars[min(m.sender, len(w.sidecars)-1)]; m.kind != leaderCommand && s.self == m.self {
				s.calling = false
			}
		})
	}
	for i := range w.leaders {
		add(5, -1, "leader %d reads", i, func(w *World) { w.leaders[i] = w.state.Status() })
		if _, any := rollout.Decide(w.leaders[i], w.now); any && room {
			add(5, -1, "leader %d steps", i, func(w *World) {
				c, _ := rollout.Decide(w.leaders[i], w.now)
				w.network = append(w.network, message{kind: leaderCommand, sender: i, command: c})
			})
		}
	}
	limited("change", w.MaxProposals, true, 3, -1, "a change is proposed", nil, func(w *World) { w.propose(false) })
	limited("cannot", w.MaxUnsupported, true, 2, -1, "a change that not all bear is proposed", nil, func(w *World) { w.propose(true) })
	limited("abort", w.MaxAborts, st.Change != nil, 1, -1, "the change is aborted", nil, func(w *World) {
		if c := w.state.Status().Change; c != nil {
			w.state.Apply(rollout.Command{Op: rollout.OpAbort, ChangeNumber: c.Number, By: "operator"})
		}
	})
	limited("restore", w.MaxRestores, true, 1, -1, "an old backup is restored", nil, func(w *World) {
		w.state.Restore(w.backup)
		w.checker.epoch = w.state.Status().Epoch
	})
	limited("tick", w.MaxTicks, true, 3, -1, "time passes", nil, func(w *World) { w.now += tick })
	return all
}

func (w *World) propose(hard bool) {
	st := w.state.Status()
	n := w.counts["change"] + w.counts["cannot"]
	c := rollout.Command{Op: rollout.OpPropose, Document: document(n, hard), BaseEpoch: st.Epoch, By: "operator", Reason: fmt.Sprint(n), WithinMS: within, AtMS: w.now}
	if n%2 < w.Canaries {
		c.CanaryFraction, c.CanaryWatchMS = 0.3, tick/2
	}
	w.state.Apply(c)
}
