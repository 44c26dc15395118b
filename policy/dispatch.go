package policy

import (
	"slices"
	"time"
)

// dispatch sends a request if its tenant has a free slot and a server is eligible, and reports whether it
// did.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if !r.bulkhead.hasSlot() {
		return false
	}
	s := b.selectServer(now, r)
	return s != nil && b.send(now, r, s)
}

// retryOrFinish retries, queues or finishes a request whose attempts have all failed.
func (b *Balancer) retryOrFinish(now time.Duration, r *request) {
	switch {
	case len(r.attempts) >= b.cfg.MaxAttempts || !r.mayRepeat(now, nil) || now >= r.latestSend():
		b.finish(r)
	case !b.dispatch(now, r):
		r.bulkhead.queue = slices.Insert(r.bulkhead.queue, 0, r) // the oldest request is served first
	}
}

// maySend reports whether a request may be sent to a server now.
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

// send starts an attempt if maySend permits it. It is the only method that calls Host.Send.
func (b *Balancer) send(now time.Duration, r *request, s *server) bool {
	if !b.maySend(now, r, s) {
		return false
	}
	b.chargeSlowStart(now, r, s)
	startWithin := time.Duration(0)
	if first := r.firstPossibleRun(); first != nil && r.class.Idempotency == IdempotentByKey {
		startWithin = r.repeatDeadline(first) - now
	}
	r.attempts = append(r.attempts, attempt{server: s, zone: s.Zone, cell: s.Cell, sentAt: now})
	r.inFlight++
	s.inFlight++
	r.bulkhead.used++
	if len(r.attempts) > 1 {
		b.counters.Retries++
	}
	b.host.Send(r.id, s.ID, r.usefulUntil-now, startWithin)
	return true
}

// finish refuses a request if the client may safely repeat it, and fails it otherwise. It is the only method
// that answers an accepted request.
func (b *Balancer) finish(r *request) {
	if r.mayBeRefused() {
		b.counters.Refused++
		// The pause is random so that refused clients do not retry simultaneously.
		pause := time.Duration((1 + b.rng.Float64()) * float64(b.traffic.averageLatency))
		b.host.Refuse(r.id, min(b.cfg.MaxRetryAfter, pause))
	} else {
		b.counters.Failed++
		b.host.Fail(r.id)
	}
	b.closeRequest(r)
}

// closeRequest marks a request that needs no response any more as ended, removes it from its queue and
// cancels its attempts.
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
