package sidecar

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/sidecar/outcome"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// request is a client's request while it is held. The fields that go to an
// upstream are fixed before the loop sees it; the rest belongs to the loop.
type request struct {
	upstream.Request // as it goes to a server
	class            int
	tenant           int
	clientRetry      bool
	expectedWork     time.Duration // a guess at it; 0 where there is none
	affinityKey      uint64        // a hash of what it concerns; 0 where that is not said
	conn             *clientConn   // it came on; nil: none, as in tests
	receivedAt       time.Time     // when it came
	clientDeadline   time.Time     // when the client gives up
	processDeadline  time.Time     // the process has to have answered it by then; zero: it serves on
	result           chan response // takes the one answer; never blocks

	id           policy.RequestID
	closed       bool // answered, or the client has gone
	attempts     []*attempt
	inFlight     int  // attempts that have not ended
	lastTimedOut bool // the last attempt did
}

// deadline is until when it has to be answered: its client's time, or the process's.
func (r *request) deadline() time.Time {
	if !r.processDeadline.IsZero() && r.processDeadline.Before(r.clientDeadline) {
		return r.processDeadline
	}
	return r.clientDeadline
}

// processTimeLeft is how long the process may still take over it; 0: it serves on.
func (r *request) processTimeLeft() time.Duration {
	if r.processDeadline.IsZero() {
		return 0
	}
	return max(1, time.Until(r.processDeadline))
}

// requestNames are the Request-Ids that are held. The loop alone changes them; the
// client side looks, so that it reads no body of a request that cannot be taken.
type requestNames struct {
	mu    sync.Mutex
	inUse map[string]bool
}

// reserve says whether a name was free, and holds it.
func (n *requestNames) reserve(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inUse[name] {
		return false
	}
	n.inUse[name] = true
	return true
}

func (n *requestNames) release(name string) {
	n.mu.Lock()
	delete(n.inUse, name)
	n.mu.Unlock()
}

func (n *requestNames) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.inUse)
}

func (n *requestNames) isInUse(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inUse[name]
}

func (l *eventLoop) admitRequest(r *request) {
	// One id, one request: a second one under the same id might run its effect twice.
	if !l.requestNames.reserve(r.ID) {
		r.closed = true
		r.result <- response{status: http.StatusConflict}
		return
	}
	l.lastID++
	r.id = l.lastID
	l.requests[r.id] = r
	if l.overloadCounts != nil {
		l.overloadCounts.RequestArrived(r.tenant)
	}
	if !l.admitting() {
		l.Refuse(r.id, time.Duration(float64(noPolicyRetryAfter)*(0.5+rand.Float64())))
		return
	}
	l.balancer.Request(l.now, policy.Request{
		ID: r.id, Class: r.class, Tenant: r.tenant, ClientRetry: r.clientRetry, ExpectedWork: r.expectedWork, AffinityKey: r.affinityKey,
		TimeLeft: time.Until(r.clientDeadline), ShutdownIn: r.processTimeLeft(),
	})
}

// admitting says whether a new request admitting be taken.
func (l *eventLoop) admitting() bool { return l.admits == nil || l.admits() }

// closeRequest ends a request towards its client.
func (l *eventLoop) closeRequest(r *request) {
	r.closed = true
	l.requestNames.release(r.ID)
	for _, a := range r.attempts {
		a.CancelWrite() // what was not written yet is not to be: nobody waits for it
	}
	if r.inFlight == 0 {
		delete(l.requests, r.id)
	}
}

// answerRequest gives a request its one answer.
func (l *eventLoop) answerRequest(id policy.RequestID, a response) {
	if r := l.requests[id]; r != nil && !r.closed {
		l.closeRequest(r)
		r.result <- a
		o := outcome.Of(a.status, time.Since(r.receivedAt), l.config.Policy.Classes[r.class].LatencyObjective)
		if l.recordOutcome != nil {
			l.recordOutcome(o)
		}
		if l.overloadCounts != nil {
			l.overloadCounts.RequestEnded(r.tenant, o)
		}
		l.recordEnd(r, o)
	}
}

func (l *eventLoop) attemptEnded(e attemptEnded) {
	a, r := e.attempt, e.attempt.req
	r.inFlight--
	if h := a.host; h != nil {
		h.inFlight--
		l.noteSilence(h, e.ending)
		l.logDrained(h)
	}
	r.lastTimedOut = e.ending == policy.TimedOut
	l.traceAttempt(a, e.ending)
	if e.ending == policy.Served {
		l.answerRequest(r.id, response{status: http.StatusOK, header: e.answer.Header, body: e.answer.Body})
	}
	// Whatever the ending: an answer too late for its client would stay here for ever.
	if r.closed && r.inFlight == 0 {
		delete(l.requests, r.id)
	}
	l.balancer.Outcome(l.now, policy.Outcome{ID: r.id, Attempt: a.number, Ending: e.ending, Settled: r.closed})
}
