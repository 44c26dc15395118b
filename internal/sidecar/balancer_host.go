package sidecar

import (
	"context"
	"net/http"
	"time"

	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// The event loop is the balancer's policy.Host: it carries out what the balancer decides.
var _ policy.Host = (*eventLoop)(nil)

// attempt is an attempt of a request, with what the event loop needs of it.
type attempt struct {
	upstream.Attempt
	request   *request
	number    int
	endpoint  *endpoint // nil: it was never sent
	startedAt time.Time
}

// newAttempt returns the next attempt of a request, which is given up at giveUpAt. If repeatDeadline
// is not zero, its request is written before that or not at all.
func newAttempt(ctx context.Context, r *request, giveUpAt, repeatDeadline time.Time) *attempt {
	a := &attempt{
		Attempt: upstream.Attempt{Request: &r.Request, Deadline: r.deadline(), RepeatDeadline: repeatDeadline},
		request: r, number: len(r.attempts), startedAt: time.Now(),
	}
	if r.conn != nil {
		a.Client = r.conn
	}
	a.Begin(ctx, giveUpAt)
	return a
}

// Send starts an attempt.
func (l *eventLoop) Send(id policy.RequestID, to policy.ServerID, timeout, start time.Duration) {
	r, e := l.requests.byID[id], l.endpoints.byID[to]
	if r == nil {
		return
	}
	giveUpAt, repeatDeadline := r.deadline(), time.Time{}
	if timeout != 0 {
		if timeoutAt := time.Now().Add(timeout); timeoutAt.Before(giveUpAt) {
			giveUpAt = timeoutAt
		}
	}
	if start != 0 {
		repeatDeadline = l.clock.at(l.clock.now + start)
	}
	a := newAttempt(l.lifetime, r, giveUpAt, repeatDeadline)
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
		ending, answer := l.transport.Do(&a.Attempt)
		l.post(attemptEnded{a, ending, answer})
	})
}

// Refuse answers a request with 503: a retry is harmless.
func (l *eventLoop) Refuse(id policy.RequestID, pause time.Duration) {
	l.answerRequest(id, response{status: http.StatusServiceUnavailable, retryAfter: pause})
}

// Fail answers a request with 502 or 504, which promise nothing; 429 and 503 would be refusals.
func (l *eventLoop) Fail(id policy.RequestID) {
	status := http.StatusBadGateway
	if r := l.requests.byID[id]; r != nil && (r.lastTimedOut || r.inFlight > 0) { // time ran out, whoever noticed first
		status = http.StatusGatewayTimeout
	}
	l.answerRequest(id, response{status: status})
}

// Cancel cancels an attempt, which closes its connection.
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
	p := &pendingProbe{endpoint: e}
	e.probes = append(e.probes, p)
	server := e.server
	l.tasks.Go(func() {
		ok, load := l.transport.Probe(l.lifetime, server)
		l.post(probeCompleted{p, ok, load})
	})
}

// WatchList has the endpoint list polled, if the balancer decides when.
func (l *eventLoop) WatchList() {
	select {
	case l.pollRequests <- struct{}{}:
	default: // a poll is waiting already
	}
}
