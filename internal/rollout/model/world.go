// Package model is a small world in which the real state machine of a change of
// policy, the real followers and the real leader's decision run together, chosen step
// by step. A judge that knows no stages looks at what each sidecar acts by.
package model

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"barleywick/internal/rollout"
	"barleywick/internal/testing/modelcheck"
)

// Setup is the size of a world.
type Setup struct {
	Sidecars       int
	MaxProposals   int // proposals
	MaxInFlight    int // under way at once
	MaxLosses      int
	MaxRestarts    int // of sidecars
	MaxLeaves      int // sidecars that end in order
	MaxAborts      int // by an operator
	MaxEvictions   int // of sidecars that are down
	MaxUnsupported int // proposals that one process cannot act by
	MaxTicks       int // of time, of which a change has two
	MaxRestores    int // of an old backup
	Canaries       int // of two proposals, so many go ahead with a part
	Leaders        int // processes that believe they lead the change
}

// sidecar is one process, or none while it is down.
type sidecar struct {
	self     rollout.Member
	up       bool
	follower *rollout.Follower
	calling  bool // a call of its is under way
	active   rollout.ActivePolicy
	acting   bool
	limited  bool // it cannot act by documents that name too much
}

type kind int

const (
	request kind = iota
	answer
	leaderCommand // of a leader
)

type message struct {
	kind    kind
	sender  int // the sidecar, or the leader
	self    rollout.Member
	command rollout.Command
	view    rollout.View
	err     error
}

// World is one state of everything.
type World struct {
	Setup
	now      int64 // ms
	state    *rollout.State
	backup   *rollout.State
	sidecars []*sidecar
	leaders  []rollout.Status // what each has read last
	network  []message
	starts   uint64
	counts   map[string]int
	checker  checker
}

// Counts is what the judge has seen.
type Counts struct{ Steps, Faults, Commits, Acting, Joint int }

type checker struct {
	Counts
	epoch uint64
}

const (
	tick   = 1000
	within = 2 * tick
)

// document is the n-th to be proposed; those beyond hard are too much for some.
func document(n int, hard bool) *rollout.Document {
	d := &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "t", Slots: n + 1, QueuePlaces: 1}}}
	if hard {
		d.Tenants[0].Slots += 100
	}
	return d
}

// New makes a world whose sidecars are about to start.
func New(s Setup) *World {
	w := &World{Setup: s, state: rollout.New(10), counts: make(map[string]int)}
	w.backup = w.state.Clone()
	for i := range s.Sidecars {
		w.sidecars = append(w.sidecars, &sidecar{self: rollout.Member{Name: fmt.Sprint("n", i)}})
		w.start(i)
	}
	w.leaders = make([]rollout.Status, s.Leaders)
	return w
}

// Clone returns a copy that shares nothing that changes.
func (w *World) Clone() *World {
	c := *w
	c.state = w.state.Clone()
	c.sidecars = make([]*sidecar, len(w.sidecars))
	for i, s := range w.sidecars {
		one := *s
		if s.follower != nil {
			f := *s.follower
			one.follower = &f
		}
		c.sidecars[i] = &one
	}
	c.network, c.leaders = slices.Clone(w.network), slices.Clone(w.leaders)
	c.counts = make(map[string]int, len(w.counts))
	for k, v := range w.counts {
		c.counts[k] = v
	}
	return &c
}

var errCannot = errors.New("tenants[0].slots is more than this process bears")

func (w *World) start(i int) {
	s := w.sidecars[i]
	w.starts++
	s.self.Incarnation = w.starts
	s.up, s.calling, s.acting = true, false, false
	s.limited = w.counts["cannot"] > 0 && i == 0
	cannot := s.limited
	s.follower = &rollout.Follower{Self: s.self, Supports: func(d *rollout.Document) error {
		if cannot && d.Tenants[0].Slots > 100 {
			return errCannot
		}
		return nil
	}}
}

// Step is one thing that may happen next.
type Step = modelcheck.Step[*World]

// Steps lists what may happen next.
func (w *World) Steps() []Step {
	all := make([]Step, 0, 32)
	add := func(weight, of int, format string, a any, do func(w *World)) {
		all = append(all, Step{Format: format, A: a, Weight: weight, Of: of, Do: func(w *World) error {
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

// call puts in force what a sidecar is to act by, and says what it has to say, or asks
// for news.
func (w *World) call(i int) {
	s := w.sidecars[i]
	s.active, s.acting = s.follower.Active()
	c, any := s.follower.NextCommand()
	if !any {
		c = rollout.Command{}
		if n, wanted := s.follower.ReportsWanted(); wanted {
			c = rollout.Command{Op: rollout.OpReport, Member: s.self, ChangeNumber: n, Counts: rollout.RequestCounts{Requests: uint64(w.checker.Steps) * 100}}
		}
	}
	s.calling = true
	w.network = append(w.network, message{kind: request, sender: i, self: s.self, command: c})
}

func (w *World) deliver(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	switch m.kind {
	case leaderCommand:
		w.state.Apply(m.command)
	case request:
		var err error
		if m.command.Op != "" {
			m.command.AtMS = w.now
			err = w.state.Apply(m.command)
		}
		if m.command.Op != rollout.OpLeave {
			w.network = append(w.network, message{kind: answer, sender: m.sender, self: m.self, command: m.command, view: w.state.View(m.self), err: err})
		}
	case answer:
		s := w.sidecars[m.sender]
		if !s.up || s.self != m.self {
			return
		}
		s.calling = false
		s.follower.HandleResult(m.command, m.err)
		s.follower.HandleView(m.view)
		if s.active, s.acting = s.follower.Active(); s.follower.Fatal() != nil { // it ends as a start that fails does
			s.up = false
			w.network = append(w.network, message{kind: request, sender: m.sender, self: s.self, command: rollout.Command{Op: rollout.OpLeave, Member: s.self}})
		}
	}
}

// checkInvariants is what the judge sees after each step: which policies each sidecar's acts keep
// to. Two that keep to no common one act by the old and by the new at once.
func (w *World) checkInvariants() error {
	st := w.state.Status()
	if st.Epoch != w.checker.epoch {
		w.checker.epoch = st.Epoch
		w.checker.Commits++
		for _, seat := range st.Roster {
			i := slices.IndexFunc(w.sidecars, func(s *sidecar) bool { return s.up && s.self == seat.Member })
			if i >= 0 && (!w.sidecars[i].acting || w.sidecars[i].active.JointChange != st.Epoch) {
				return fmt.Errorf("epoch %d is in force, and n%d, which has a seat, never acted by it and the old one", st.Epoch, i)
			}
		}
	}
	common := map[uint64]int{}
	acting := 0
	for i, s := range w.sidecars {
		if !s.up || !s.acting {
			continue
		}
		acting++
		w.checker.Acting++
		common[s.active.Epoch]++
		if s.active.JointChange != 0 {
			common[s.active.JointChange]++
			w.checker.Joint++
		}
		if s.limited && s.active.Document != nil && s.active.Document.Tenants[0].Slots > 100 {
			return fmt.Errorf("n%d is to act by epoch %d, which it cannot", i, s.active.Epoch)
		}
	}
	for _, n := range common {
		if n == acting {
			return nil
		}
	}
	if acting == 0 {
		return nil
	}
	text := ""
	for i, s := range w.sidecars {
		if s.up && s.acting {
			text += fmt.Sprintf(" n%d by epoch %d (joint with %d)", i, s.active.Epoch, s.active.JointChange)
		}
	}
	return fmt.Errorf("old and new at once:%s", text)
}

// Key tells states apart.
func (w *World) Key(text []byte) []byte {
	st := w.state.Status()
	st.History = nil
	text = fmt.Append(text, w.now, w.counts, st.Epoch, st.Stage, st.Roster)
	if st.Change != nil {
		text = fmt.Append(text, st.Change.Number, st.Change.DeadlineMS)
	}
	for _, s := range w.sidecars {
		text = fmt.Append(text, "|", s.up, s.acting, s.limited, s.calling, s.self.Incarnation, s.active.Epoch, s.active.JointChange)
		if s.up {
			text = s.follower.Key(text)
		}
	}
	for _, l := range w.leaders {
		text = fmt.Append(text, "|", l.Epoch, l.Stage, l.WaitingFor, l.Version)
	}
	lines := make([]string, 0, len(w.network))
	for _, m := range w.network {
		lines = append(lines, fmt.Sprint(m.kind, m.sender, m.self, m.command.Op, m.command.ChangeNumber, m.command.Stage, m.command.Refusal != "", m.view.Epoch, m.view.Stage, m.view.ChangeNumber, m.view.InRoster, st.Version-m.view.Version, m.err != nil))
	}
	slices.Sort(lines)
	return fmt.Append(text, lines)
}

// Walk takes steps drawn from a seed; then all faults end, and within a bound all acts
// are by one policy, and no change is under way.
func Walk(s Setup, seed uint64, steps int) (Counts, *modelcheck.Found) {
	k := &modelcheck.Walker[*World]{W: New(s)}
	f := k.Walk(rand.New(rand.NewPCG(seed, 6)), steps, s.Sidecars)
	if f == nil {
		f = settle(k)
	}
	return k.W.checker.Counts, f
}

// settleRounds is in how many settleRounds of calls all settles.
const settleRounds = 30

func settle(k *modelcheck.Walker[*World]) *modelcheck.Found {
	w := k.W
	take := func(format string, do func(w *World)) *modelcheck.Found {
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
		return k.Found(fmt.Errorf("change %d is still %s, it waits for %v", st.Change.Number, st.Stage, st.WaitingFor))
	}
	for i, s := range w.sidecars {
		if s.limited && st.Document != nil && st.Document.Tenants[0].Slots > 100 {
			continue // it starts in vain
		}
		if !s.acting || s.active.Epoch != st.Epoch || s.active.JointChange != 0 {
			return k.Found(fmt.Errorf("n%d acts by epoch %d (joint with %d, acting %v) when epoch %d has settled", i, s.active.Epoch, s.active.JointChange, s.acting, st.Epoch))
		}
	}
	return nil
}

func (c *Counts) add(d Counts) {
	c.Steps += d.Steps
	c.Faults += d.Faults
	c.Commits += d.Commits
	c.Acting += d.Acting
	c.Joint += d.Joint
}
