// Package model is a small world in which the real state machine of leases, the real
// count of a leader and the real holder's code run together, step by step, without a
// clock, a network or a goroutine: what may happen next is listed, and somebody
// chooses. Search tries all choices to a depth; Walk draws them from a seed. A judge
// that shares no code with leases watches what was granted and done.
package model

import (
	"fmt"
	"slices"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
)

// holder is one process with at most one claim on each lease.
type holder struct {
	identity registry.Holder
	sessions []*lease.Session
}

// World is one state of everything.
type World struct {
	Setup
	now           time.Duration // true time
	state         *registry.State
	backup        []byte
	clock         *registry.ClaimTracker
	leader        int // counts leaders
	holders       []*holder
	network       []message
	verifications []pendingVerification
	claimCount    int // ids given
	duplicates    int
	losses        int
	restores      int // restores so far
	restarts      int // restarts so far
	checker       checker
}

var epoch = time.UnixMilli(1_700_000_000_000)

// New makes a world in which grants have begun.
func New(s Setup) *World {
	w := &World{Setup: s, state: registry.NewState(), checker: checker{claimByToken: make(map[uint64]string), newestToken: make([]uint64, s.Leases)}}
	w.mustApply(registry.Command{Op: registry.OpFoundGroup, Group: "g", AtMS: epoch.UnixMilli()})
	w.mustApply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	w.checker.highestToken = w.state.Leases().LastToken()
	var err error
	if w.backup, err = w.state.MarshalJSON(); err != nil {
		panic(err)
	}
	for i := range s.Holders {
		h := &holder{identity: registry.Holder{Name: fmt.Sprint("k", i), Incarnation: 1}, sessions: make([]*lease.Session, s.Leases)}
		if s.SharedName && i < 2 {
			h.identity = registry.Holder{Name: "k", Incarnation: uint64(i + 1)}
		}
		w.holders = append(w.holders, h)
	}
	w.elect()
	return w
}

func (w *World) mustApply(c registry.Command) {
	if r := w.state.Apply(c); r.Err != nil {
		panic(r.Err)
	}
}

// Clone returns a copy that shares nothing that changes.
func (w *World) Clone() *World {
	c := *w
	c.state, c.clock = w.state.Clone(), w.clock.Clone()
	c.holders = make([]*holder, len(w.holders))
	for i, h := range w.holders {
		n := &holder{identity: h.identity, sessions: make([]*lease.Session, len(h.sessions))}
		for j, t := range h.sessions {
			if t != nil {
				one := *t
				n.sessions[j] = &one
			}
		}
		c.holders[i] = n
	}
	c.network, c.verifications = slices.Clone(w.network), slices.Clone(w.verifications)
	c.checker.claimByToken = make(map[uint64]string, len(w.checker.claimByToken))
	for k, v := range w.checker.claimByToken {
		c.checker.claimByToken[k] = v
	}
	c.checker.newestToken = slices.Clone(w.checker.newestToken)
	return &c
}

func (w *World) clockRate(process int) int64 {
	if len(w.ClockRates) == 0 {
		return 1000
	}
	return w.ClockRates[process]
}

// holderClock is what a holder's clock says; they all began at different readings.
func (w *World) holderClock(h int) time.Duration {
	return time.Duration(int64(w.now)*w.clockRate(h)/1000) + time.Duration(h+1)*time.Hour
}

// leaderClock is what the leader's clock says.
func (w *World) leaderClock() time.Time {
	return epoch.Add(time.Duration(int64(w.now) * w.clockRate(w.Holders) / 1000))
}

// elect puts a new leader in place, which gives every claim its full time.
func (w *World) elect() {
	w.leader++
	w.clock = registry.NewClaimTracker(w.TTL)
	w.clock.Sync(w.state.Leases(), w.leaderClock())
}

func leaseName(i int) string { return fmt.Sprint("task-", i) }

// expire lets the leader end what is due, as soon as it is.
func (w *World) expire() {
	w.clock.Sync(w.state.Leases(), w.leaderClock())
	ended, open := w.clock.TakeExpired(w.leaderClock())
	if open {
		w.mustApply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	}
	if len(ended) > 0 {
		w.mustApply(registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: ended}})
	}
	w.follow()
}

func (w *World) follow() { w.clock.Sync(w.state.Leases(), w.leaderClock()) }
