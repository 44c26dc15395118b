package policy

import (
	"slices"
	"time"
)

// request is a request that was accepted and has not ended, or whose attempts have not.
type request struct {
	id           RequestID
	class        *class
	bulkhead     *bulkhead
	affinityKey  uint64        // 0: none
	expectedWork time.Duration // 0: unknown

	deadline         time.Duration // when the client gives up
	shutdownDeadline time.Duration // when the process has to be done; NoLimit: it is not shutting down
	objectiveAt      time.Duration // an answer after this earns less
	usefulUntil      time.Duration // an answer after this earns nothing

	attempts  []attempt
	inFlight  int
	streaming bool // the answer has begun to stream to the client
	ended     bool // no answer is owed any more; kept until its attempts have ended too
}

// attempt is one attempt of a request.
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

// class is what is known of the requests of one class.
type class struct {
	Class
	usualLatency time.Duration // moving average of an answer's time

	// The time left that most requests arrive with, by a majority vote.
	usualTimeLeft time.Duration
	usualVotes    int
}

const (
	// maxVotes bounds the votes for the usual time left, so that it can change within as many requests.
	maxVotes = 64
	// timeLeftTolerance is by how much the time left of a class's requests varies by chance.
	timeLeftTolerance = 2 * busyTick
)

// newRequest makes the record of a request that has just arrived.
func newRequest(now time.Duration, q Request, c *class, tenant *bulkhead, clientsMarkRetries bool) *request {
	r := &request{
		id: q.ID, class: c, bulkhead: tenant, affinityKey: q.AffinityKey, expectedWork: q.ExpectedWork,
		deadline: now + min(q.TimeLeft, maxTimeLeft), shutdownDeadline: NoLimit,
	}
	firstAttempt := now // when the client made its first attempt
	if c.observeTimeLeft(q.TimeLeft) && (q.ClientRetry || !clientsMarkRetries) {
		firstAttempt = min(now, r.deadline-c.Deadline)
	}
	extraTime := time.Duration(c.ObjectiveWorkFactor * float64(q.ExpectedWork))
	r.objectiveAt = min(r.deadline, firstAttempt+c.LatencyObjective+extraTime)
	r.usefulUntil = r.objectiveAt
	objectiveUnknown := c.ObjectiveWorkFactor > 0 && q.ExpectedWork == 0
	if c.LateShare > 0 || objectiveUnknown {
		r.usefulUntil = r.deadline
	}
	if q.ShutdownIn > 0 {
		r.boundByShutdown(now + q.ShutdownIn)
	}
	return r
}

// observeTimeLeft learns the time left that requests of a class arrive with, and says whether this
// one is unusual. A client's retry has what remains of the whole: less than its first attempt or,
// where clients cut their attempts short, more.
func (c *class) observeTimeLeft(left time.Duration) (unusual bool) {
	if c.usualVotes == 0 {
		c.usualTimeLeft = left
	}
	if (left - c.usualTimeLeft).Abs() > timeLeftTolerance {
		c.usualVotes--
		return true
	}
	c.usualVotes = min(c.usualVotes+1, maxVotes)
	return false
}

// boundByShutdown bounds all times of a request by the time when the process has to be done.
func (r *request) boundByShutdown(by time.Duration) {
	r.shutdownDeadline = by
	r.deadline = min(r.deadline, by)
	r.usefulUntil = min(r.usefulUntil, r.deadline)
	r.objectiveAt = min(r.objectiveAt, r.deadline)
}

// latestSend is the time after which an answer would probably be late. Sending later would load
// servers for answers that earn little.
func (r *request) latestSend() time.Duration {
	return r.objectiveAt - min(2*r.class.usualLatency, r.class.LatencyObjective/2)
}

// firstPossibleRun returns the first attempt that has run or may still run, or nil.
func (r *request) firstPossibleRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.state != neverRan }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// triedAt says whether an attempt of the request was sent to a server.
func (r *request) triedAt(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// mayRepeat says whether the class allows another attempt now, at a server or, if s is nil, at any
// server: a request that may have run has to be dropped there when it arrives again.
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

// repeatDeadline is until when a request that is idempotent by key may be repeated. It keeps a margin
// to the end of the window, as the sender may be delayed between this decision and its write.
func (r *request) repeatDeadline(first *attempt) time.Duration {
	return first.sentAt + r.class.DedupWindow - min(repeatMargin, r.class.DedupWindow/4)
}

// mayBeRefused says whether a refusal, which tells the client that it may repeat the request, is true.
func (r *request) mayBeRefused() bool {
	if r.firstPossibleRun() == nil {
		return true
	}
	droppedEverywhere := r.class.Idempotency == IdempotentByKey && r.class.DedupScope == ScopeAll
	return r.class.Idempotency == Idempotent || droppedEverywhere
}

// end records how an attempt ended.
func (a *attempt) end(e Ending) {
	a.state = mayHaveRun
	if e == Rejected || e == NoConnection || e == NotSent {
		a.state = neverRan
	}
	a.server.inFlight--
}
