// Package lease is the holder's side of the registry's leases: it asks for them,
// keeps them, and knows at each moment whether their tasks may still act.
//
// A holder counts its time from before it sent the call that the registry granted,
// and acts for a part of the time to live alone. It is therefore through before the
// registry's leader, which counts from when the call came and for the whole time,
// gives the lease to another. docs/LEASES.md says what this rests on.
package lease

import (
	"errors"
	"fmt"
	"time"

	"barleywick/internal/mutation"
	"barleywick/internal/registry"
)

const (
	// actFraction is the part of the time to live in which a holder may act. What is left
	// is for clocks that do not run alike and for a pause within an act: with clocks of
	// which one runs by a tenth slow against the other, a pause of a sixth of the time
	// to live is still within it (0.75/0.9 + 1/6 = 1).
	actFraction = 0.75
	// renewalsPerTTL is how many fall into a time to live: three may be lost or late before
	// the holder stops.
	renewalsPerTTL = 6
)

// Why a task may not act.
var (
	// ErrLapsed says that the time is up, as far as this process knows.
	ErrLapsed = errors.New("the lease has lapsed")
	// ErrInsufficientTime says that too little time is left for the act.
	ErrInsufficientTime = errors.New("too little of the lease is left")
)

// Session is one claim on one lease from its asking to its end: a state machine
// without a clock, which is told the time, as a reading of a clock that never goes
// back. It is not safe for concurrent use.
type Session struct {
	LeaseName string
	ClaimID   string
	Holder    registry.Holder
	TTL       time.Duration

	acquireSent    bool
	firstSentAt    time.Duration // before the first call for it was sent
	token          uint64
	deadline       time.Duration // acts end before this
	ended          bool
	yieldRequested bool
	yieldTo        string
}

// AcquireSent notes that a call for the lease is about to be sent.
func (t *Session) AcquireSent(now time.Duration) {
	if !t.acquireSent {
		t.acquireSent, t.firstSentAt = true, now
	}
}

// Acquired takes the answer to that call in. However often it was sent, the grant may
// have come with the first.
func (t *Session) Acquired(a registry.ClaimStatus, now time.Duration) {
	t.handleAnswer(a, t.firstSentAt, now)
}

// Renewed takes the answer in to a renewal that was sent at a time.
func (t *Session) Renewed(a registry.ClaimStatus, sent, now time.Duration) {
	t.handleAnswer(a, sent, now)
}

func (t *Session) handleAnswer(a registry.ClaimStatus, sent, now time.Duration) {
	t.checkDeadline(now)
	switch {
	case t.ended:
	case a.Ended || t.token != 0 && a.Token != 0 && a.Token != t.token:
		t.ended = true
	case a.YieldRequested:
		t.RequestYield(a.NextHolder)
	case a.Token != 0:
		if mutation.FromAnswer {
			sent = now
		}
		until := sent + time.Duration(actFraction*float64(t.TTL))
		if t.token == 0 && until <= now {
			return // granted from the line, or heard of too late to act by: the next renewal tells
		}
		t.token, t.deadline = a.Token, max(t.deadline, until)
	}
}

// checkDeadline notes that the time is up. A tenure that has lapsed once is over: its task is
// to stop first, and may then begin another.
func (t *Session) checkDeadline(now time.Duration) {
	if t.token != 0 && t.deadline != 0 && now >= t.deadline && !mutation.UncheckedPause {
		t.ended = true
	}
}

// Held says whether the lease is held, as far as this process knows.
func (t *Session) Held(now time.Duration) bool {
	t.checkDeadline(now)
	return t.token != 0 && !t.ended
}

// Ended says whether the tenure has ended for good.
func (t *Session) Ended(now time.Duration) bool {
	t.checkDeadline(now)
	return t.ended
}

// RequestYield notes that the lease is to be given up, to somebody or to whoever waits longest.
func (t *Session) RequestYield(to string) { t.yieldRequested, t.yieldTo = true, to }

// YieldRequested says whether the holder was asked to give the lease up, and to whom.
func (t *Session) YieldRequested() (to string, leave bool) { return t.yieldTo, t.yieldRequested }

// Token is the fencing token, 0 before the grant.
func (t *Session) Token() uint64 { return t.token }

// Age is how long ago the lease was first asked for.
func (t *Session) Age(now time.Duration) time.Duration { return now - t.firstSentAt }

// Deadline is when acts have to have ended, on the clock that the tenure is told.
func (t *Session) Deadline() time.Duration { return t.deadline }

// CheckAct says whether an act that takes a time may begin now.
func (t *Session) CheckAct(now, takes time.Duration) error {
	switch {
	case !t.Held(now):
		return fmt.Errorf("%w: %s", ErrLapsed, t.LeaseName)
	case now+takes > t.deadline && !mutation.UncheckedPause:
		return fmt.Errorf("%w: %s has another %v, the act may take %v", ErrInsufficientTime, t.LeaseName, t.deadline-now, takes)
	}
	return nil
}

// Resign ends the tenure from this side.
func (t *Session) Resign() { t.ended = true }
