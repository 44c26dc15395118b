package lease

import (
	"errors"
	"fmt"
	"time"

	"barleywick/internal/mutation"
	"barleywick/internal/registry"
)

const (
	// actFraction is the fraction of the time to live in which a holder may act. The rest
	// covers clocks that run at different rates and a pause within an act: if one clock
	// runs a tenth slower than the other, a pause of a sixth of the time to live is still
	// safe (0.75/0.9 + 1/6 = 1).
	actFraction = 0.75
	// renewalsPerTTL is the number of renewals in a time to live: three may be lost or
	// late before the holder stops.
	renewalsPerTTL = 6
)

// The reasons why a task may not act.
var (
	// ErrLapsed means that the lease has ended, as far as this process knows.
	ErrLapsed = errors.New("the lease has lapsed")
	// ErrInsufficientTime means that the lease is held, but for less time than the act
	// may take.
	ErrInsufficientTime = errors.New("insufficient remaining time of the lease")
)

// Session is the holder's view of one claim on one lease, from the first call to its end.
// It is a state machine without a clock: the caller passes the time as a reading
// of a monotonic clock. It is not safe for concurrent use.
type Session struct {
	LeaseName string
	ClaimID   string
	Holder    registry.Holder
	TTL       time.Duration

	acquireSent    bool
	firstSentAt    time.Duration // before the first acquire call was sent
	token          uint64
	deadline       time.Duration // acts must end before this
	ended          bool
	yieldRequested bool
	yieldTo        string
}

// AcquireSent records that an acquire call is about to be sent.
func (s *Session) AcquireSent(now time.Duration) {
	if !s.acquireSent {
		s.acquireSent, s.firstSentAt = true, now
	}
}

// Acquired handles the answer to an acquire call. The call may have been sent several
// times and granted the first time, so the time to live is measured from the first.
func (s *Session) Acquired(status registry.ClaimStatus, now time.Duration) {
	s.handleAnswer(status, s.firstSentAt, now)
}

// Renewed handles the answer to a renewal that was sent at sentAt.
func (s *Session) Renewed(status registry.ClaimStatus, sentAt, now time.Duration) {
	s.handleAnswer(status, sentAt, now)
}

func (s *Session) handleAnswer(status registry.ClaimStatus, sentAt, now time.Duration) {
	s.checkDeadline(now)
	switch {
	case s.ended:
	case status.Ended || s.contradictedBy(status.Token):
		s.ended = true
	case status.YieldRequested:
		s.RequestYield(status.NextHolder)
	case status.Token != 0:
		if mutation.CountLeaseFromResponse {
			sentAt = now
		}
		s.extend(status.Token, sentAt, now)
	}
}

// contradictedBy reports whether an answer's token belongs to another grant.
func (s *Session) contradictedBy(token uint64) bool {
	return s.token != 0 && token != 0 && token != s.token
}

// extend extends the deadline of acts. A first grant whose deadline has already passed is
// ignored: the claim was granted while it was queued, or the answer was slow. The answer to
// the next renewal has the grant again.
func (s *Session) extend(token uint64, sentAt, now time.Duration) {
	deadline := sentAt + time.Duration(actFraction*float64(s.TTL))
	if s.token == 0 && deadline <= now {
		return
	}
	s.token, s.deadline = token, max(s.deadline, deadline)
}

// checkDeadline ends the session if its deadline has passed. A session that has lapsed stays
// ended: its task has to stop before another session may begin.
func (s *Session) checkDeadline(now time.Duration) {
	if s.token != 0 && s.deadline != 0 && now >= s.deadline && !mutation.SkipClockCheck {
		s.ended = true
	}
}

// Held reports whether the lease is held, as far as this process knows.
func (s *Session) Held(now time.Duration) bool {
	s.checkDeadline(now)
	return s.token != 0 && !s.ended
}

// Ended reports whether the session has ended for good.
func (s *Session) Ended(now time.Duration) bool {
	s.checkDeadline(now)
	return s.ended
}

// RequestYield records that the lease is to be released, to a named process or, if the
// name is empty, to the first in the queue.
func (s *Session) RequestYield(to string) { s.yieldRequested, s.yieldTo = true, to }

// YieldRequested reports whether the lease is to be released, and to whom.
func (s *Session) YieldRequested() (to string, requested bool) { return s.yieldTo, s.yieldRequested }

// Token returns the fencing token, which is 0 before the grant.
func (s *Session) Token() uint64 { return s.token }

// Age returns the time since the first acquire call.
func (s *Session) Age(now time.Duration) time.Duration { return now - s.firstSentAt }

// Deadline returns the time by which acts must have ended.
func (s *Session) Deadline() time.Duration { return s.deadline }

// CheckAct returns nil if an act of the given length may begin now, or else an error that
// wraps ErrLapsed or ErrInsufficientTime.
func (s *Session) CheckAct(now, takes time.Duration) error {
	switch {
	case !s.Held(now):
		return fmt.Errorf("%w: %s", ErrLapsed, s.LeaseName)
	case now+takes > s.deadline && !mutation.SkipClockCheck:
		return fmt.Errorf("%w: %s has another %v, the act may take %v", ErrInsufficientTime, s.LeaseName, s.deadline-now, takes)
	}
	return nil
}

// Resign ends the session at the holder's request.
func (s *Session) Resign() { s.ended = true }
