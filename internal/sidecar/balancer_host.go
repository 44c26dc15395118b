package sidecar

import (
	"context"
	"net/http"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// The event loop implements policy.Host: it carries out the balancer's decisions.
var _ policy.Host = (*eventLoop)(nil)

// attempt is one attempt of a request, with the state that the event loop keeps for it.
type attempt struct {
	upstream.Attempt
	request   *request
	number    int
	endpoint  *endpoint // nil if the attempt was never sent
	startedAt time.Time
}

// newAttempt returns the next attempt of a request. The attempt times out at attemptDeadline. If
// repeatDeadline is not zero, the request is written before that time or not at all.
func newAttempt(ctx context.Context, r *request, attemptDeadline, repeatDeadline time.Time) *attempt {
	a := &attempt{
		Attempt: upstream.Attempt{Request: &r.Request, Deadline: r.deadline(), RepeatDeadline: repeatDeadline},
		request: r, number: len(r.attempts), startedAt: time.Now(),
	}
	if r.conn != nil {
		a.Client = r.conn
	}
	a.Begin(ctx, attemptDeadline)
	return a
}

// Send starts an attempt.
func (l *eventLoop) Send(id policy.RequestID, to policy.ServerID, timeout, start time.Duration) {
	r, e := l.requests.byID[id], l.endpoints.byID[to]
	if r == nil {
		return
	}
	attemptDeadline, repeatDeadline := r.deadline(), time.Time{}
	if timeout != 0 {
		if timeoutAt := time.Now().Add(timeout); timeoutAt.Before(attemptDeadline) {
			attemptDeadline = timeoutAt
		}
	}
	if start != 0 {
		repeatDeadline = l.clock.at(l.clock.now + start)
	}
	a := newAttempt(l.lifetime, r, attemptDeadline, repeatDeadline)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if e == nil || r.closed {
		a.CancelWrite()
		a.Cancel()
		l.queued = append(l.queued, attemptEnded{attempt: a, ending: policy.NotSent})
		return
	}
	a.Server, a.endpoint = e.server, e
	e.inFlight++
	l.tasks.Go(func() {
		ending, resp := l.transport.Do(&a.Attempt)
		l.post(attemptEnded{a, ending, resp})
	})
}

// Refuse answers a request with 503, which tells the client that a retry is safe.
func (l *eventLoop) Refuse(id policy.RequestID, pause time.Duration) {
	l.answerRequest(id, response{status: http.StatusServiceUnavailable, retryAfter: pause})
}

// Fail answers a request with 502 or 504: the request may have run. It never uses 429 and 503, which
// tell the client that a retry is safe.
func (l *eventLoop) Fail(id policy.RequestID) {
	status := http.StatusBadGateway
	if r := l.requests.byID[id]; r != nil && (r.lastAttemptTimedOut || r.inFlight > 0) { // the attempt timed out, or the balancer failed the request before that
		status = http.StatusGatewayTimeout
	}
	l.answerRequest(id, response{status: status})
}

// Cancel cancels an attempt and closes its connection.
func (l *eventLoop) Cancel(id policy.RequestID, number int) {
	if r := l.requests.byID[id]; r != nil && number >= 0 && number < len(r.attempts) {
		r.attempts[number].Cancel()
	}
}

// Wake arms the balancer's timer.
func (l *eventLoop) Wake(after time.Duration) { l.wakeTimer.arm(l.clock.now, after) }

// Probe asks a booking server for its load.
func (l *eventLoop) Probe(to policy.ServerID) {
	e := l.endpoints.byID[to]
	if e == nil {
		return
	}
	p := &pendingProbe{endpoint: e, server: e.server}
	e.probes = append(e.probes, p)
	l.tasks.Go(func() {
		ok, load := l.transport.Probe(l.lifetime, p.server)
		l.post(probeCompleted{p, ok, load})
	})
}

// WatchList requests a watch of the endpoint list. It has an effect only if the configuration lets the
// balancer schedule polls.
func (l *eventLoop) WatchList() { l.requestPoll(client.CallWatch) }

// FetchList requests the full endpoint list, under the same condition.
func (l *eventLoop) FetchList() { l.requestPoll(client.CallFullList) }

// requestPoll requests a call for the endpoint list, in place of one that has not begun.
func (l *eventLoop) requestPoll(call client.Call) {
	select {
	case <-l.pollRequests:
	default:
	}
	l.pollRequests <- call // only this goroutine sends
}
