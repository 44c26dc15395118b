package model

import (
	"errors"
	"fmt"
	"slices"

	"barleywick/internal/rollout"
)

const (
	tickMS          = 1000
	changeTimeoutMS = 2 * tickMS // after which a change is aborted
	// slotLimit is the number of slots above which one sidecar does not support a document.
	slotLimit = 100
)

var errUnsupported = errors.New("tenants[0].slots exceeds slotLimit, the maximum that this process supports")

// sidecar is a sidecar, which has a process only while it is up.
type sidecar struct {
	self     rollout.Member
	up       bool
	follower *rollout.Follower
	calling  bool // a call or its answer is in flight
	active   rollout.ActivePolicy
	acting   bool
	limited  bool // it does not support documents above slotLimit
}

// event is a kind of step whose number a Setup limits.
type event int

const (
	eventProposal event = iota
	eventUnsupported
	eventLoss
	eventRestart
	eventLeave
	eventAbort
	eventEviction
	eventTick
	eventRestore
	eventKinds // number of kinds
)

// World is a state of all processes and of the network between them.
type World struct {
	Setup
	nowMS    int64
	state    *rollout.State
	backup   *rollout.State
	sidecars []*sidecar
	leaders  []rollout.Status // the last status that each leader has read
	network  []message
	starts   uint64 // of sidecars so far
	counts   [eventKinds]int
	checker  checker
}

// New returns a world whose sidecars have just started.
func New(s Setup) *World {
	w := &World{Setup: s, state: rollout.New(10)}
	w.backup = w.state.Clone()
	for i := range s.Sidecars {
		w.sidecars = append(w.sidecars, &sidecar{self: rollout.Member{Name: fmt.Sprint("n", i)}})
		w.start(i)
	}
	w.leaders = make([]rollout.Status, s.Leaders)
	return w
}

// Clone returns a copy that shares no mutable state.
func (w *World) Clone() *World {
	c := *w
	c.state = w.state.Clone()
	c.sidecars = make([]*sidecar, len(w.sidecars))
	for i, s := range w.sidecars {
		c.sidecars[i] = s.clone()
	}
	c.network, c.leaders = slices.Clone(w.network), slices.Clone(w.leaders)
	return &c
}

func (s *sidecar) clone() *sidecar {
	c := *s
	if s.follower != nil {
		follower := *s.follower
		c.follower = &follower
	}
	return &c
}

// start starts a sidecar, which keeps no state of earlier runs. After a proposal that not all
// sidecars support, the first sidecar starts as the one that does not support it.
func (w *World) start(i int) {
	s := w.sidecars[i]
	w.starts++
	s.self.Incarnation = w.starts
	s.up, s.calling, s.acting = true, false, false
	limited := w.counts[eventUnsupported] > 0 && i == 0
	s.limited = limited
	s.follower = &rollout.Follower{Self: s.self, Supports: func(d *rollout.Document) error {
		if limited && d.Tenants[0].Slots > slotLimit {
			return errUnsupported
		}
		return nil
	}}
}

func (s *sidecar) stop() { s.up, s.acting = false, false }

// document returns the n-th document that is proposed.
func document(n int, supported bool) *rollout.Document {
	d := &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "t", Slots: n + 1, QueuePlaces: 1}}}
	if !supported {
		d.Tenants[0].Slots += slotLimit
	}
	return d
}

// propose proposes a document. A proposal during another change is rejected.
func (w *World) propose(supported bool) {
	n := w.counts[eventProposal] + w.counts[eventUnsupported]
	c := rollout.Command{
		Op: rollout.OpPropose, Document: document(n, supported), BaseEpoch: w.state.Status().Epoch,
		By: "operator", Reason: fmt.Sprint(n), WithinMS: changeTimeoutMS, AtMS: w.nowMS,
	}
	if n%2 < w.Canaries {
		c.CanaryFraction, c.CanaryWatchMS = 0.3, tickMS/2
	}
	w.apply(c)
}

// apply applies a command of an operator or a leader, which ignore its result.
func (w *World) apply(c rollout.Command) {
	if err := w.state.Apply(c); err != nil {
		w.checker.Refused++
	}
}
