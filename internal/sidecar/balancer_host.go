package sidecar

import (
	"context"
	"net/http"
	"time"

	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// attempt is an attempt of a request, with what the loop keeps of it.
type attempt struct {
	upstream.Attempt
	req       *request
	number    int
	host      *endpoint // nil: it was never sent
	startedAt time.Time
}

// newAttempt returns the next attempt of a request, which is given up at giveUpAt. If repeatDeadline
// is not zero, its request is written before that or not at all.
func newAttempt(ctx context.Context, r *request, giveUpAt, repeatDeadline time.Time) *attempt {
	a := &attempt{
		Attempt: upstream.Attempt{Request: &r.Request, Deadline: r.deadline(), RepeatDeadline: repeatDeadline},
		req:     r, number: len(r.attempts), startedAt: time.Now(),
	}
	if r.conn != nil {
		a.Client = r.conn
	}
	a.Begin(ctx, giveUpAt)
	return a
}

// Send starts an attempt.
func (l *eventLoop) Send(id policy.RequestID, to policy.ServerID, timeout, start time.Duration) {
	r, h := l.requests[id], l.endpointsByID[to]
	if r == nil {
		return
	}
	until, startBy := r.deadline(), time.Time{}
	if timeout != 0 {
		if cut := time.Now().Add(timeout); cut.Before(until) {
			until = cut
		}
	}
	if start != 0 { // of the module's clock, which stands still in an event
		startBy = l.startedAt.Add(l.now + start - time.Duration(l.startedAt.UnixNano()))
	}
	a := newAttempt(l.lifetime, r, until, startBy)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if h == nil || r.closed {
		a.CancelWrite()
		a.Cancel()
		l.queued = append(l.queued, attemptEnded{attempt: a, ending: policy.NotSent})
		return
	}
	a.Server, a.host = h.peer, h
	h.inFlight++
	l.tasks.Go(func() {
		ending, ans := l.transport.Do(&a.Attempt)
		l.post(attemptEnded{a, ending, ans})
	})
}

// Refuse answers 503: trying again is harmless.
func (l *eventLoop) Refuse(id policy.RequestID, pause time.Duration) {
	l.answerRequest(id, response{status: http.StatusServiceUnavailable, retryAfter: pause})
}

// Fail answers without a promise: never with 429 or 503, which are refusals.
func (l *eventLoop) Fail(id policy.RequestID) {
	status := http.StatusBadGateway
	if r := l.requests[id]; r != nil && (r.lastTimedOut || r.inFlight > 0) { // time ran out, whoever noticed first
		status = http.StatusGatewayTimeout
	}
	l.answerRequest(id, response{status: status})
}

// Cancel gives an attempt up, which closes its connection.
func (l *eventLoop) Cancel(id policy.RequestID, number int) {
	if r := l.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		r.attempts[number].Cancel()
	}
}

// Wake arms the one timer. The module asks again only for an earlier time.
func (l *eventLoop) Wake(d time.Duration) {
	l.wakeAt = l.now + d
	l.timer.Reset(d)
}

// Probe asks an upstream for its load.
func (l *eventLoop) Probe(to policy.ServerID) {
	h := l.endpointsByID[to]
	if h == nil {
		return
	}
	p := &pendingProbe{endpoint: h}
	h.probes = append(h.probes, p)
	peer := h.peer
	l.tasks.Go(func() {
		ok, load := l.transport.Probe(l.lifetime, peer)
		l.post(probeCompleted{p, ok, load})
	})
}

// WatchList subscribes to the list, where that is the module's to ask.
func (l *eventLoop) WatchList() {
	select {
	case l.pollRequests <- struct{}{}:
	default: // one is waiting already
	}
}
