package sidecar

import (
	"hash/maphash"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// noPolicyRetryAfter is the mean Retry-After of refusals while the fleet policy does not allow admitting
// requests.
const noPolicyRetryAfter = time.Second

// request is a client's request until the client has its response. The fields up to result are set before
// the event loop receives the request; only the loop accesses the others.
type request struct {
	upstream.Request // as it is forwarded to a server
	class            int
	tenant           int
	clientRetry      bool
	expectedWork     time.Duration // 0: unknown
	affinityKey      uint64        // hash of the Affinity-Key; 0: none
	conn             *clientConn   // the connection it arrived on; nil in tests
	receivedAt       time.Time
	clientDeadline   time.Time     // when the client times out
	processDeadline  time.Time     // the shutdown deadline if it applies to this request; zero: it does not
	result           chan response // receives exactly one response; sending never blocks

	id                  policy.RequestID
	closed              bool // answered, or the client has disconnected
	attempts            []*attempt
	inFlight            int  // attempts that have not ended
	lastAttemptTimedOut bool // the attempt that ended last timed out
	mayHaveRun          bool // an attempt that has ended may have had an effect that must not occur again
}

// deadline returns the time by which the request must be answered: the earlier of the client's and the
// process's deadline.
func (r *request) deadline() time.Time {
	if !r.processDeadline.IsZero() && r.processDeadline.Before(r.clientDeadline) {
		return r.processDeadline
	}
	return r.clientDeadline
}

// processTimeLeft returns the time left until the process's deadline, or 0 if that does not apply.
func (r *request) processTimeLeft() time.Duration {
	if r.processDeadline.IsZero() {
		return 0
	}
	return max(1, time.Until(r.processDeadline))
}

// dropResponse releases the memory of a response that was sent to a handler which has stopped waiting for it.
func (r *request) dropResponse() {
	select {
	case resp := <-r.result:
		resp.release()
		resp.upstream = nil
		r.result <- resp
	default:
	}
}

// requestTable holds the requests that are in progress.
type requestTable struct {
	lastID policy.RequestID
	byID   map[policy.RequestID]*request
	ids    *requestIDs
}

func newRequestTable(maxRememberedIDs int) requestTable {
	return requestTable{byID: make(map[policy.RequestID]*request), ids: newRequestIDs(maxRememberedIDs)}
}

// add assigns an id to a request and adds it.
func (t *requestTable) add(r *request) {
	t.lastID++
	r.id = t.lastID
	t.byID[r.id] = r
}

// removeIfDone removes a request that is closed and has no attempt in flight, and releases its id.
func (t *requestTable) removeIfDone(now time.Duration, r *request) {
	if !r.closed || r.inFlight > 0 || t.byID[r.id] != r {
		return
	}
	delete(t.byID, r.id)
	t.ids.release(now, r.ID, r.mayHaveRun)
}

// requestIDs guards the Request-Ids that must not come again: see policy.RequestIDs. Only the event loop
// changes it. The client handler reads it, so that it does not read the body of a request that it must reject.
type requestIDs struct {
	seed maphash.Seed

	mu         sync.Mutex
	ids        *policy.RequestIDs
	unanswered int // requests that were admitted and have no answer yet
}

func newRequestIDs(maxRemembered int) *requestIDs {
	return &requestIDs{seed: maphash.MakeSeed(), ids: policy.NewRequestIDs(maxRemembered)}
}

// key returns the key of an id. Ids with the same key are so rare that a request may be rejected for it.
func (ids *requestIDs) key(id string) uint64 { return maphash.String(ids.seed, id) }

// reserve marks the id of a request as in use. It returns false if the id must not be used.
func (ids *requestIDs) reserve(now time.Duration, id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if !ids.ids.Reserve(now, ids.key(id)) {
		return false
	}
	ids.unanswered++
	return true
}

// answered records that a request has its answer, or that its client has left.
func (ids *requestIDs) answered() {
	ids.mu.Lock()
	ids.unanswered--
	ids.mu.Unlock()
}

// release records that a request and all of its attempts have ended.
func (ids *requestIDs) release(now time.Duration, id string, mayHaveRun bool) {
	ids.mu.Lock()
	ids.ids.Release(now, ids.key(id), mayHaveRun)
	ids.mu.Unlock()
}

// count returns the number of requests that were admitted and have no answer yet.
func (ids *requestIDs) count() int {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	return ids.unanswered
}

// inUse reports whether a request with this id must not be sent.
func (ids *requestIDs) inUse(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	return ids.ids.InUse(ids.key(id))
}

// admitRequest passes a new request to the balancer. It rejects a duplicate id, and refuses the request
// while the fleet policy does not allow admitting any.
func (l *eventLoop) admitRequest(r *request) {
	// A second request with the same id could cause its effect twice.
	if !l.requests.ids.reserve(l.clock.now, r.ID) {
		slog.Debug("client: request id rejected", "request", r.ID)
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

// admitting reports whether new requests may be admitted. It may be called by any goroutine.
func (l *eventLoop) admitting() bool { return l.fleet.policy == nil || l.fleet.policy.Admitting() }

// closeRequest marks a request as finished for its client, and cancels attempts that are not written yet.
func (l *eventLoop) closeRequest(r *request) {
	r.closed = true
	l.requests.ids.answered()
	for _, a := range r.attempts {
		a.CancelWrite() // the result of an unwritten attempt is not needed any more
	}
	l.requests.removeIfDone(l.clock.now, r)
}

// answerRequest answers a request, unless it is closed already.
func (l *eventLoop) answerRequest(id policy.RequestID, resp response) {
	r := l.requests.byID[id]
	if r == nil || r.closed {
		resp.release()
		return
	}
	l.closeRequest(r)
	r.result <- resp
	l.observers.requestAnswered(r, resp.status)
}

// endAttempt handles the end of an attempt. resp is set if the ending is policy.Served.
func (l *eventLoop) endAttempt(a *attempt, ending policy.Ending, resp *upstream.Response) {
	r := a.request
	r.inFlight--
	if e := a.endpoint; e != nil {
		e.inFlight--
		if a.Server == e.server { // and not an earlier process
			l.recordAttemptEnd(e, ending)
		}
		l.logDrained(e)
	}
	r.lastAttemptTimedOut = ending == policy.TimedOut
	if ending.MayHaveRun() && l.config.Policy.Classes[r.class].Idempotency != policy.Idempotent {
		r.mayHaveRun = true
	}
	l.observers.attemptEnded(a, ending)
	if ending == policy.Served {
		l.answerRequest(r.id, response{status: http.StatusOK, header: resp.Header, body: resp.Body, upstream: resp})
	}
	l.requests.removeIfDone(l.clock.now, r) // for any ending: the request may have been closed before its response arrived
	l.balancer.Outcome(l.clock.now, policy.Outcome{ID: r.id, Attempt: a.number, Ending: ending, Settled: r.closed})
}
