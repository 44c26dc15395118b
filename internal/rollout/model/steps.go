package model

import (
	"slices"

	"barleywick/internal/rollout"
	"barleywick/internal/testing/modelcheck"
)

// Step is a possible next step of a World.
type Step = modelcheck.Step[*World]

// noActor is the actor of steps that no sidecar takes.
const noActor = -1

// stepList collects steps. The order and the weights of steps decide what a seed draws.
type stepList struct {
	world *World
	steps []Step
}

func (l *stepList) add(weight, actor int, effect func(w *World), format string, name any) {
	l.steps = append(l.steps, Step{Format: format, A: name, Weight: weight, Actor: actor, Do: func(w *World) error {
		w.checker.Steps++
		effect(w)
		return w.checkInvariants()
	}})
}

// addLimited adds a step that may be taken at most limit times, and that counts as a fault.
func (l *stepList) addLimited(kind event, limit, weight, actor int, effect func(w *World), format string, name any) {
	if l.world.counts[kind] >= limit {
		return
	}
	l.add(weight, actor, func(w *World) {
		w.counts[kind]++
		w.checker.Faults++
		effect(w)
	}, format, name)
}

// Steps lists the possible next steps.
func (w *World) Steps() []Step {
	l := &stepList{world: w, steps: make([]Step, 0, 32)}
	status := w.state.Status()
	for i, s := range w.sidecars {
		if s.up {
			w.runningSteps(l, i)
		} else {
			w.downSteps(l, i, status)
		}
	}
	w.networkSteps(l)
	w.leaderSteps(l)
	w.operatorSteps(l, status)
	l.addLimited(eventRestore, w.MaxRestores, 1, noActor, func(w *World) {
		w.state.Restore(w.backup)
		w.checker.epoch = w.state.Status().Epoch
	}, "an old backup is restored", nil)
	l.addLimited(eventTick, w.MaxTicks, 3, noActor, func(w *World) { w.nowMS += tickMS }, "time passes", nil)
	return l.steps
}

// canSend reports whether another message may be sent.
func (w *World) canSend() bool { return len(w.network) < w.MaxInFlight }

func (w *World) runningSteps(l *stepList, i int) {
	if w.canSend() && !w.sidecars[i].calling {
		l.add(8, i, func(w *World) { w.call(i) }, "n%d calls", i)
	}
	l.addLimited(eventRestart, w.MaxRestarts, 1, i, func(w *World) { w.sidecars[i].stop() }, "n%d crashes", i)
	if w.canSend() {
		l.addLimited(eventLeave, w.MaxLeaves, 1, i, func(w *World) {
			w.sidecars[i].stop()
			w.sendLeave(i)
		}, "n%d leaves and ends", i)
	}
}

func (w *World) downSteps(l *stepList, i int, status rollout.Status) {
	l.add(4, i, func(w *World) { w.start(i) }, "n%d starts", i)
	name := w.sidecars[i].self.Name
	if slices.ContainsFunc(status.Roster, func(m rollout.RosterMember) bool { return m.Name == name }) {
		l.addLimited(eventEviction, w.MaxEvictions, 1, noActor, func(w *World) {
			w.apply(rollout.Command{Op: rollout.OpEvict, Member: w.sidecars[i].self})
		}, "n%d is evicted", i)
	}
}

func (w *World) networkSteps(l *stepList) {
	for i, m := range w.network {
		l.add(10, noActor, func(w *World) { w.deliver(i) }, "a message (%v) arrives", m.kind)
		l.addLimited(eventLoss, w.MaxLosses, 2, noActor, func(w *World) { w.loseMessage(i) }, "a message (%v) is lost", m.kind)
	}
}

func (w *World) leaderSteps(l *stepList) {
	for i, status := range w.leaders {
		l.add(5, noActor, func(w *World) { w.leaders[i] = w.state.Status() }, "leader %d reads", i)
		if _, ok := rollout.Decide(status, w.nowMS); ok && w.canSend() {
			l.add(5, noActor, func(w *World) {
				c, _ := rollout.Decide(w.leaders[i], w.nowMS)
				w.network = append(w.network, message{kind: leaderCommand, process: i, command: c})
			}, "leader %d decides", i)
		}
	}
}

func (w *World) operatorSteps(l *stepList, status rollout.Status) {
	l.addLimited(eventProposal, w.MaxProposals, 3, noActor, func(w *World) { w.propose(true) }, "a change is proposed", nil)
	l.addLimited(eventUnsupported, w.MaxUnsupported, 2, noActor, func(w *World) { w.propose(false) }, "a change is proposed that not all support", nil)
	if status.Change != nil {
		l.addLimited(eventAbort, w.MaxAborts, 1, noActor, func(w *World) {
			if c := w.state.Status().Change; c != nil {
				w.apply(rollout.Command{Op: rollout.OpAbort, ChangeNumber: c.Number, By: "operator"})
			}
		}, "the change is aborted", nil)
	}
}
