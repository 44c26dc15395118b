package policy

import (
	"slices"
	"time"
)

// dispatch sends a request if a slot of its compartment and a server are free.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if r.bulkhead.full() {
		return false
	}
	s := b.pick(now, r)
	return s != nil && b.send(now, r, s)
}

// retryOrFinish gives a request whose attempts have all failed another one, or ends it.
func (b *Balancer) retryOrFinish(now time.Duration, r *request) {
	switch {
	case len(r.attempts) >= b.cfg.MaxAttempts || !r.mayRepeat(now, nil) || now >= r.latestSend():
		b.finish(r)
	case !b.dispatch(now, r):
		r.bulkhead.queue = slices.Insert(r.bulkhead.queue, 0, r) // it has waited already: to the front
	}
}

// dispatchQueued gives free slots to what waits, one compartment after the other.
func (b *Balancer) dispatchQueued(now time.Duration) {
	b.nextBulkhead = (b.nextBulkhead + 1) % len(b.bulkheads)
	for i := range b.bulkheads {
		c := &b.bulkheads[(b.nextBulkhead+i)%len(b.bulkheads)]
		for n := 0; n < len(c.queue) && !c.full(); {
			switch r := c.queue[n]; {
			case now >= r.latestSend():
				b.finish(r) // which takes it out of the queue
			case b.dispatch(now, r):
				c.queue = slices.Delete(c.queue, n, n+1)
			default:
				n++ // it may be bound to where it has been: it must not hold up the others
			}
		}
	}
}

// maySend says whether the rules let a request go to a server now.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	sending := SendFacts{
		Now: now, ClientDeadline: r.deadline, ShutdownDeadline: r.shutdownDeadline, RepeatDeadline: NoLimit,
		Answered: r.ended || r.streaming, ServerState: s.State, MayHaveRun: r.firstPossibleRun() != nil,
		Attempts: len(r.attempts), MaxAttempts: b.cfg.MaxAttempts, InFlight: r.inFlight,
		SlowStartExhausted: !b.slowStartAllows(now, r, s),
	}
	if sending.MayHaveRun {
		sending.Repeatable = r.mayRepeat(now, s)
	}
	return sending.Decide() == Allowed
}

// send is the one place that sends.
func (b *Balancer) send(now time.Duration, r *request, s *server) bool {
	if !b.maySend(now, r, s) {
		return false
	}
	b.chargeSlowStart(now, r, s)
	start := time.Duration(0)
	if first := r.firstPossibleRun(); first != nil && r.class.Idempotency == IdempotentByKey {
		start = r.repeatDeadline(first) - now
	}
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now})
	r.inFlight++
	s.inFlight++
	r.bulkhead.used++
	if len(r.attempts) > 1 {
		b.counters.Retries++
	}
	b.host.Send(r.id, s.ID, r.usefulUntil-now, start)
	return true
}

// finish is the one place that answers: refused where that is true, failed where it is not.
func (b *Balancer) finish(r *request) {
	byKeyAnywhere := r.class.Idempotency == IdempotentByKey && r.class.DedupScope == ScopeAll
	if r.firstPossibleRun() == nil || r.class.Idempotency == Idempotent || byKeyAnywhere {
		b.counters.Refused++
		pause := time.Duration((1 + b.rng.Float64()) * float64(b.usualLatency)) // spread: not all at once
		b.host.Refuse(r.id, min(b.cfg.MaxRetryAfter, pause))
	} else {
		b.counters.Failed++
		b.host.Fail(r.id)
	}
	b.closeRequest(r)
}

// closeRequest closes a request that has its answer: out of the queue, attempts called off.
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
