package policy

import (
	"slices"
	"time"
)

// dispatch sends a request if its tenant has a free slot and a server can take it.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if !r.bulkhead.hasSlot() {
		return false
	}
	s := b.selectServer(now, r)
	return s != nil && b.send(now, r, s)
}

// retryOrFinish continues with a request whose attempts have all failed.
func (b *Balancer) retryOrFinish(now time.Duration, r *request) {
	switch {
	case len(r.attempts) >= b.cfg.MaxAttempts || !r.mayRepeat(now, nil) || now >= r.latestSend():
		b.finish(r)
	case !b.dispatch(now, r):
		r.bulkhead.queue = slices.Insert(r.bulkhead.queue, 0, r) // it has waited longest
	}
}

// maySend says whether a request may be sent to a server now.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	facts := SendFacts{
		Now: now, ClientDeadline: r.deadline, ShutdownDeadline: r.shutdownDeadline, RepeatDeadline: NoLimit,
		Answered: r.ended || r.streaming, ServerState: s.State, MayHaveRun: r.firstPossibleRun() != nil,
		Attempts: len(r.attempts), MaxAttempts: b.cfg.MaxAttempts, InFlight: r.inFlight,
		SlowStartExhausted: !b.slowStartAllows(now, r, s),
	}
	if facts.MayHaveRun {
		facts.Repeatable = r.mayRepeat(now, s)
	}
	return facts.Decide() == Allowed
}

// send starts an attempt. No other method does.
func (b *Balancer) send(now time.Duration, r *request, s *server) bool {
	if !b.maySend(now, r, s) {
		return false
	}
	b.chargeSlowStart(now, r, s)
	startWithin := time.Duration(0)
	if first := r.firstPossibleRun(); first != nil && r.class.Idempotency == IdempotentByKey {
		startWithin = r.repeatDeadline(first) - now
	}
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now})
	r.inFlight++
	s.inFlight++
	r.bulkhead.used++
	if len(r.attempts) > 1 {
		b.counters.Retries++
	}
	b.host.Send(r.id, s.ID, r.usefulUntil-now, startWithin)
	return true
}

// finish answers a request: with a refusal where that is true, otherwise with a failure. No other
// method answers an accepted request.
func (b *Balancer) finish(r *request) {
	if r.mayBeRefused() {
		b.counters.Refused++
		// The pause is random so that refused clients do not return together.
		pause := time.Duration((1 + b.rng.Float64()) * float64(b.traffic.usualLatency))
		b.host.Refuse(r.id, min(b.cfg.MaxRetryAfter, pause))
	} else {
		b.counters.Failed++
		b.host.Fail(r.id)
	}
	b.closeRequest(r)
}

// closeRequest removes a request that needs no answer any more from its queue and cancels its attempts.
func (b *Balancer) closeRequest(r *request) {
	r.ended = true
	if i := slices.Index(r.bulkhead.queue, r); i >= 0 {
		r.bulkhead.queue = slices.Delete(r.bulkhead.queue, i, i+1)
	}
	for i := range r.attempts {
		if r.attempts[i].state == inFlight && b.cfg.MayCancel {
			b.host.Cancel(r.id, i)
		}
	}
	if r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}
