package policy

import "time"

// Outlier detection: a server that fails gets nothing but a recovery attempt after each pause.

const (
	initialBackoff = 250 * time.Millisecond // before the first recovery attempt
	maxBackoff     = 4 * time.Second        // the pause doubles after each failure up to this
	// maxBackoffDoublings keeps a shift from overflowing; the maximum is reached long before.
	maxBackoffDoublings = 16
)

// health is the evidence for and against a server.
type health struct {
	outlier             bool          // gets only recovery attempts
	suspected           bool          // after one failure that may be chance
	consecutiveFailures int           // since the last good answer
	lastFailureAt       time.Duration // of an error or a broken connection
	recoveryAt          time.Duration // when the next recovery attempt or probe is due
}

// recovered takes back all evidence against a server.
func (h *health) recovered() {
	h.outlier, h.suspected, h.consecutiveFailures = false, false, 0
}

// backoff is the pause after a number of failures. It is random so that balancers do not act together.
func (b *Balancer) backoff(failures int) time.Duration {
	pause := min(initialBackoff<<min(failures, maxBackoffDoublings), maxBackoff)
	return time.Duration(float64(pause) * (0.5 + b.rng.Float64()))
}

// observeOutcome learns from the end of an attempt.
func (b *Balancer) observeOutcome(now time.Duration, r *request, a *attempt, end Ending) {
	s, took := a.server, now-a.sentAt
	if end == Served || end == TimedOut {
		s.observeObjectiveShare(float64(took) / float64(r.class.LatencyObjective))
	}
	b.observeQueueing(now, r, s, took, end)
	if end == Served || end == Errored || end == Rejected {
		s.recordArrival(now)
	}
	switch end {
	case Served:
		b.traffic.observeLatency(r.class, took)
		b.markHealthy(now, s)
	case TimedOut:
		if s.answeredAt <= a.sentAt { // nothing at all came from it meanwhile
			b.markUnresponsive(now, s)
		}
	case Errored, Broken:
		b.observeError(now, a, end)
	case NoConnection:
		b.markUnresponsive(now, s)
	case Rejected:
		b.recordFailure(now, s)
	}
}

// observeError takes an error or a broken connection. A single one may be chance; two without a good
// answer between them are evidence. Connections that break together count once.
func (b *Balancer) observeError(now time.Duration, a *attempt, end Ending) {
	s := a.server
	if end == Broken && a.sentAt < s.health.lastFailureAt {
		return
	}
	s.health.lastFailureAt = now
	if s.health.suspected {
		b.recordFailure(now, s)
	}
	s.health.suspected = true
}

// markHealthy takes a good answer, after which nothing counts against the server any more.
func (b *Balancer) markHealthy(now time.Duration, s *server) {
	wasOutlier := s.health.outlier
	s.answeredAt = now
	s.health.recovered()
	if wasOutlier {
		b.endpoints.updateWeights(now)
	}
}

// recordFailure takes evidence against a server, which makes it an outlier.
func (b *Balancer) recordFailure(now time.Duration, s *server) {
	s.health.recoveryAt = now + b.backoff(s.health.consecutiveFailures)
	s.health.consecutiveFailures++
	s.health.outlier = true
	b.endpoints.updateWeights(now)
}
