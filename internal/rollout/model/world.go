// Package model is a small world in which the real state machine of a change of
// policy, the real followers and the real leader's decision run together, chosen step
// by step. A judge that knows no stages looks at what each sidecar acts by.
package model

import (
	"errors"
	"fmt"
	"slices"

	"barleywick/internal/rollout"
)

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
