package sidecar

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// noPolicyRetryAfter is the mean Retry-After of a sidecar that may not act under the fleet policy.
const noPolicyRetryAfter = time.Second

// request is a client's request until its client has its response. The first fields are fixed
// before the event loop sees it; the rest belongs to the loop.
type request struct {
	upstream.Request // as it goes to a server
	class            int
	tenant           int
	clientRetry      bool
	expectedWork     time.Duration // 0: not known
	affinityKey      uint64        // a hash of what it concerns; 0: not known
	conn             *clientConn   // it came on; nil: none, as in tests
	receivedAt       time.Time
	clientDeadline   time.Time     // when the client gives up
	processDeadline  time.Time     // when the process has to have answered it; zero: the process serves on
	result           chan response // receives the one response; never blocks

	id           policy.RequestID
	closed       bool // answered, or the client has gone
	attempts     []*attempt
	inFlight     int  // attempts that have not ended
	lastTimedOut bool // the last attempt did
}

// deadline returns when it has to be answered: the client's or the process's deadline.
func (r *request) deadline() time.Time {
	if !r.processDeadline.IsZero() && r.processDeadline.Before(r.clientDeadline) {
		return r.processDeadline
	}
	return r.clientDeadline
}

// processTimeLeft returns how long the process may still take for it; 0: the process serves on.
func (r *request) processTimeLeft() time.Duration {
	if r.processDeadline.IsZero() {
		return 0
	}
	return max(1, time.Until(r.processDeadline))
}

// requestTable holds the requests that are in progress.
type requestTable struct {
	lastID policy.RequestID
	byID   map[policy.RequestID]*request
	ids    requestIDs
}

func newRequestTable() requestTable {
	return requestTable{byID: make(map[policy.RequestID]*request), ids: requestIDs{inUse: make(map[string]bool)}}
}

// add gives a request its number.
func (t *requestTable) add(r *request) {
	t.lastID++
	r.id = t.lastID
	t.byID[r.id] = r
}

// removeIfDone forgets a request that is closed and has no attempt in flight.
func (t *requestTable) removeIfDone(r *request) {
	if r.closed && r.inFlight == 0 {
		delete(t.byID, r.id)
	}
}

// requestIDs are the Request-Ids in use. The event loop alone changes them. The client side reads
// them, so that it reads no body of a request that cannot be taken.
type requestIDs struct {
	mu    sync.Mutex
	inUse map[string]bool
}

// reserve says whether an id was free, and takes it.
func (ids *requestIDs) reserve(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if ids.inUse[id] {
		return false
	}
	ids.inUse[id] = true
	return true
}

func (ids *requestIDs) release(id string) {
	ids.mu.Lock()
	delete(ids.inUse, id)
	ids.mu.Unlock()
}

func (ids *requestIDs) count() int {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	return len(ids.inUse)
}

func (ids *requestIDs) isInUse(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	return ids.inUse[id]
}

// admitRequest passes a new request to the balancer, or refuses it.
func (l *eventLoop) admitRequest(r *request) {
	// A second request under the same id might run its effect twice.
	if !l.requests.ids.reserve(r.ID) {
		r.closed = true
		r.result <- response{status: http.StatusConflict}
		return
	}
	l.requests.add(r)
	l.observers.requestArrived(r)
	if !l.admitting() {
		l.Refuse(r.id, time.Duration(float64(noPolicyRetryAfter)*(0.5+rand.Float64())))
		return
	}
	l.balancer.Request(l.clock.now, policy.Request{
		ID: r.id, Class: r.class, Tenant: r.tenant, ClientRetry: r.clientRetry, ExpectedWork: r.expectedWork, AffinityKey: r.affinityKey,
		TimeLeft: time.Until(r.clientDeadline), ShutdownIn: r.processTimeLeft(),
	})
}

// admitting says whether new requests may be admitted. It may be called by any goroutine.
func (l *eventLoop) admitting() bool { return l.fleet.policy == nil || l.fleet.policy.Admitting() }

// closeRequest ends a request towards its client.
func (l *eventLoop) closeRequest(r *request) {
	r.closed = true
	l.requests.ids.release(r.ID)
	for _, a := range r.attempts {
		a.CancelWrite() // nobody waits for what was not written yet
	}
	l.requests.removeIfDone(r)
}

// answerRequest gives a request its one response.
func (l *eventLoop) answerRequest(id policy.RequestID, resp response) {
	r := l.requests.byID[id]
	if r == nil || r.closed {
		return
	}
	l.closeRequest(r)
	r.result <- resp
	l.observers.requestAnswered(r, resp.status)
}

// endAttempt takes the end of an attempt; answer comes with policy.Served.
func (l *eventLoop) endAttempt(a *attempt, ending policy.Ending, answer *upstream.Response) {
	r := a.request
	r.inFlight--
	if e := a.endpoint; e != nil {
		e.inFlight--
		l.recordAttemptEnd(e, ending)
		l.logDrained(e)
	}
	r.lastTimedOut = ending == policy.TimedOut
	l.observers.attemptEnded(a, ending)
	if ending == policy.Served {
		l.answerRequest(r.id, response{status: http.StatusOK, header: answer.Header, body: answer.Body})
	}
	l.requests.removeIfDone(r) // whatever the ending: a response may come too late for its client
	l.balancer.Outcome(l.clock.now, policy.Outcome{ID: r.id, Attempt: a.number, Ending: ending, Settled: r.closed})
}
