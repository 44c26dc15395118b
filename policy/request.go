package policy

import (
	"slices"
	"time"
)

// request is an accepted request. It is kept until the request and all of its attempts have ended.
type request struct {
	id           RequestID
	class        *class
	bulkhead     *bulkhead
	affinityKey  uint64        // 0: none
	expectedWork time.Duration // 0: unknown

	deadline         time.Duration // when the client's timeout expires
	shutdownDeadline time.Duration // when the process must have finished; NoLimit: it is not shutting down
	objectiveAt      time.Duration // a response after this has less value
	usefulUntil      time.Duration // a response after this has no value

	attempts  []attempt
	inFlight  int
	streaming bool // the response is being streamed to the client
	ended     bool // no response is needed any more; attempts may still be in flight
}

// attempt is one attempt of a request.
type attempt struct {
	server *server // the state of the process that it was sent to
	zone   int     // of the server, when it was sent
	cell   int     // of the server, when it was sent
	sentAt time.Duration
	state  attemptState
}

type attemptState int

const (
	inFlight attemptState = iota
	mayHaveRun
	neverRan
)

// class is a request class and its observed statistics.
type class struct {
	Class
	averageLatency time.Duration // moving average of the latency of served requests

	// The time left with which most requests arrive, by majority vote.
	usualTimeLeft time.Duration
	usualVotes    int
}

const (
	// maxVotes limits the votes for the usual time left, so that it can change within that many requests.
	maxVotes = 64
	// timeLeftTolerance is the random variation of the time left among a class's requests.
	timeLeftTolerance = 2 * busyTick
)

// newRequest returns the state of a request that has just arrived.
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

// observeTimeLeft updates the usual time left of a class and reports whether this one is unusual. A client's
// retry has the remainder of the whole deadline: less than its first attempt had or, if clients shorten their
// first attempts, more.
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

// boundByShutdown limits all times of a request to the shutdown deadline of the process.
func (r *request) boundByShutdown(shutdownDeadline time.Duration) {
	r.shutdownDeadline = shutdownDeadline
	r.deadline = min(r.deadline, shutdownDeadline)
	r.usefulUntil = min(r.usefulUntil, r.deadline)
	r.objectiveAt = min(r.objectiveAt, r.deadline)
}

// latestSend returns the time after which the response to a new attempt would probably be late. Sending later
// would load servers for responses of little value.
func (r *request) latestSend() time.Duration {
	return r.objectiveAt - min(2*r.class.averageLatency, r.class.LatencyObjective/2)
}

// firstPossibleRun returns the first attempt that may have run or may still run, or nil.
func (r *request) firstPossibleRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.state != neverRan }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// triedAt reports whether an attempt of the request was sent to a server, or to an earlier process of it.
func (r *request) triedAt(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server.ID == s.ID })
}

// mayRepeat reports whether the class permits another attempt now, at a server or, if s is nil, at any
// server. A request that may have run may be repeated only where the server drops repeats, unless it is
// idempotent.
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
	return s.Zone == first.zone && (r.class.DedupScope == ScopeZone || s.Cell == first.cell)
}

// repeatDeadline returns the time until which a request that is idempotent by key may be repeated. It is
// earlier than the end of the deduplication window by a margin, since the sender may be delayed between this
// decision and its write.
func (r *request) repeatDeadline(first *attempt) time.Duration {
	return first.sentAt + r.class.DedupWindow - min(repeatMargin, r.class.DedupWindow/4)
}

// mayBeRefused reports whether the client may safely repeat the request, as a refusal states.
func (r *request) mayBeRefused() bool {
	if r.firstPossibleRun() == nil {
		return true
	}
	droppedEverywhere := r.class.Idempotency == IdempotentByKey && r.class.DedupScope == ScopeAll
	return r.class.Idempotency == Idempotent || droppedEverywhere
}

// end records the ending of an attempt.
func (a *attempt) end(e Ending) {
	a.state = neverRan
	if e.MayHaveRun() {
		a.state = mayHaveRun
	}
	a.server.inFlight--
}
