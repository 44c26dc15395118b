package policy

import (
	"slices"
	"time"
)

type request struct {
	id               RequestID
	affinityKey      uint64 // what it concerns; 0: nothing known
	class            *class
	bulkhead         *bulkhead
	deadline         time.Duration // the client's
	shutdownDeadline time.Duration // the process has to be done by then; NoLimit: it serves on
	usefulUntil      time.Duration // an answer after this earns nothing
	objectiveAt      time.Duration // and after this not all
	attempts         []attempt
	inFlight         int
	streaming        bool // its answer streams: it is the client's now
	ended            bool // ended; kept until its attempts have ended too

	expectedWork time.Duration // expected; 0 where unknown
}

type attempt struct {
	server *server
	sentAt time.Duration
	state  attemptState
}

type attemptState int

const (
	inFlight attemptState = iota
	mayHaveRun
	neverRan
)

type class struct {
	Class
	usualLatency  time.Duration // usual time of an answer
	usualTimeLeft time.Duration // the time left that most requests come with
	usualVotes    int           // and how sure that is
}

// firstPossibleRun returns the first attempt that may have run or still may, or nil.
func (r *request) firstPossibleRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.state != neverRan }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// triedAt says whether a server has had this request already.
func (r *request) triedAt(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// hasUnusualTimeLeft says whether a request has another time left than most of its class lately: retries have
// what is left of the whole, less than a first one or, where tries are cut short, more.
func (c *class) hasUnusualTimeLeft(left time.Duration) bool {
	if c.usualVotes == 0 {
		c.usualTimeLeft = left
	}
	if (left - c.usualTimeLeft).Abs() > 2*busyTick {
		c.usualVotes-- // a majority vote
		return true
	}
	c.usualVotes = min(c.usualVotes+1, maxVotes)
	return false
}

// latestSend is when a wait stops being worth it: servers would work for answers that come late.
func (r *request) latestSend() time.Duration {
	return r.objectiveAt - min(2*r.class.usualLatency, r.class.LatencyObjective/2)
}

// mayRepeat says whether the class allows an attempt now, on a server or (nil)
// on some server: what may have run must be dropped there if it comes again.
func (r *request) mayRepeat(now time.Duration, s *server) bool {
	first := r.firstPossibleRun()
	switch {
	case first == nil || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == NonIdempotent || now >= r.repeatDeadline(first):
		return false
	case s == nil || r.class.DedupScope == ScopeAll:
		return true
	}
	return s.Zone == first.server.Zone && (r.class.DedupScope == ScopeZone || s.Cell == first.server.Cell)
}

// repeatDeadline is until when a keyed request may be sent again. A margin is kept to the window's end:
// the sender may be held up between this decision and its write.
func (r *request) repeatDeadline(first *attempt) time.Duration {
	return first.sentAt + r.class.DedupWindow - min(repeatMargin, r.class.DedupWindow/4)
}

// boundByShutdown bounds what a request may wait for by the time by which the process has to be done.
func (r *request) boundByShutdown(by time.Duration) {
	r.shutdownDeadline = by
	r.deadline = min(r.deadline, by)
	r.usefulUntil = min(r.usefulUntil, r.deadline)
	r.objectiveAt = min(r.objectiveAt, r.deadline)
}
