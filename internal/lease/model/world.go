package model

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
)

// trueClockRate is the rate of a clock that keeps true time.
const trueClockRate = 1000

// epoch is the leader's clock at the beginning.
var epoch = time.UnixMilli(1_700_000_000_000)

// holder is one process with at most one claim on each lease.
type holder struct {
	identity registry.Holder
	sessions []*lease.Session // by lease; nil: no claim
}

// World is a state of all processes and of the network between them.
type World struct {
	Setup
	now           time.Duration // true time
	state         *registry.State
	backup        []byte
	tracker       *registry.ClaimTracker // of the current leader
	leader        int                    // number of leaders so far
	holders       []*holder
	network       []message
	verifications []pendingVerification
	claimCount    int // claim ids issued
	duplicates    int
	losses        int
	restores      int
	restarts      int
	checker       checker
}

// New returns a world in which leases can be granted.
func New(s Setup) *World {
	w := &World{Setup: s, state: registry.NewState()}
	w.mustApply(registry.Command{Op: registry.OpFoundGroup, Group: "g", AtMS: epoch.UnixMilli()})
	w.mustApply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	w.checker = newChecker(s.Leases, w.state.Leases().LastToken())
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

// Clone returns a copy that shares no mutable state.
func (w *World) Clone() *World {
	c := *w
	c.state, c.tracker = w.state.Clone(), w.tracker.Clone()
	c.holders = make([]*holder, len(w.holders))
	for i, h := range w.holders {
		c.holders[i] = h.clone()
	}
	c.network, c.verifications = slices.Clone(w.network), slices.Clone(w.verifications)
	c.checker.claimByToken = maps.Clone(w.checker.claimByToken)
	c.checker.newestToken = slices.Clone(w.checker.newestToken)
	return &c
}

func (h *holder) clone() *holder {
	c := &holder{identity: h.identity, sessions: make([]*lease.Session, len(h.sessions))}
	for i, s := range h.sessions {
		if s != nil {
			session := *s
			c.sessions[i] = &session
		}
	}
	return c
}

func (w *World) clockRate(process int) int64 {
	if len(w.ClockRates) == 0 {
		return trueClockRate
	}
	return w.ClockRates[process]
}

// holderClock reads a holder's clock. The holders' clocks start at different times.
func (w *World) holderClock(holder int) time.Duration {
	return time.Duration(int64(w.now)*w.clockRate(holder)/trueClockRate) + time.Duration(holder+1)*time.Hour
}

// leaderClock reads the leader's clock.
func (w *World) leaderClock() time.Time {
	return epoch.Add(time.Duration(int64(w.now) * w.clockRate(w.Holders) / trueClockRate))
}

// elect elects another leader, whose claim tracker gives each claim its full time to live.
func (w *World) elect() {
	w.leader++
	w.tracker = registry.NewClaimTracker(w.TTL)
	w.syncTracker()
}

// expire makes the leader end the claims whose time to live has passed.
func (w *World) expire() {
	w.syncTracker()
	expired, open := w.tracker.TakeExpired(w.leaderClock())
	if open {
		w.mustApply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	}
	if len(expired) > 0 {
		w.mustApply(registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: expired}})
	}
	w.syncTracker()
}

func (w *World) syncTracker() { w.tracker.Sync(w.state.Leases(), w.leaderClock()) }

// tick advances true time by one tick.
func (w *World) tick() {
	w.now += w.Tick
	w.expire()
}

// acquireNew starts a new claim of a holder on a lease.
func (w *World) acquireNew(holder, leaseIndex int) {
	h := w.holders[holder]
	w.claimCount++
	h.sessions[leaseIndex] = &lease.Session{
		LeaseName: leaseName(leaseIndex), ClaimID: fmt.Sprintf("claim-%05d", w.claimCount), Holder: h.identity, TTL: w.TTL,
	}
	w.send(acquire, holder, leaseIndex)
}

// restart restarts a holder, which loses its claims.
func (w *World) restart(holder int) {
	w.restarts++
	h := w.holders[holder]
	h.identity.Incarnation = uint64(2 + w.restarts) // later than any before
	h.sessions = make([]*lease.Session, w.Leases)
}

func leaseName(i int) string { return fmt.Sprint("task-", i) }
