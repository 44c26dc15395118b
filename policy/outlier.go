package policy

import "time"

// Outlier detection: a server that fails gets only recovery attempts, one after each backoff.

const (
	initialBackoff = 250 * time.Millisecond // before the first recovery attempt
	maxBackoff     = 4 * time.Second        // the backoff doubles after each failure up to this
	// maxBackoffDoublings prevents a shift from overflowing; the maximum is reached long before.
	maxBackoffDoublings = 16
)

// health is the failure state of a server.
type health struct {
	outlier             bool          // receives only recovery attempts
	suspected           bool          // after one failure, which may be accidental
	consecutiveFailures int           // since the last served response
	lastFailureAt       time.Duration // time of the last error or broken connection
	recoveryAt          time.Duration // time of the next recovery attempt or probe
}

// reset clears the failure state of a server, apart from its times.
func (h *health) reset() {
	h.outlier, h.suspected, h.consecutiveFailures = false, false, 0
}

// backoff returns the delay after a number of failures. It is random so that balancers do not act together.
func (b *Balancer) backoff(failures int) time.Duration {
	pause := min(initialBackoff<<min(failures, maxBackoffDoublings), maxBackoff)
	return time.Duration(float64(pause) * (0.5 + b.rng.Float64()))
}

// observeOutcome updates the server's health, the traffic averages and the congestion after an attempt.
func (b *Balancer) observeOutcome(now time.Duration, r *request, a *attempt, ending Ending) {
	s, elapsed := a.server, now-a.sentAt
	if ending == Served || ending == TimedOut {
		s.observeObjectiveShare(float64(elapsed) / float64(r.class.LatencyObjective))
	}
	b.observeQueueing(now, r, s, elapsed, ending)
	if ending == Served || ending == Errored || ending == Rejected {
		s.recordArrival(now)
	}
	switch ending {
	case Served:
		b.traffic.observeLatency(r.class, elapsed)
		b.markHealthy(now, s)
	case TimedOut:
		if s.lastSuccessAt <= a.sentAt { // no response from the server since the attempt was sent
			b.markUnresponsive(now, s)
		}
	case Errored, Broken:
		b.observeError(now, a, ending)
	case NoConnection:
		b.markUnresponsive(now, s)
	case Rejected:
		b.recordFailure(now, s)
	}
}

// observeError handles an error or a broken connection. A single one may be accidental; a second without a
// served response in between makes the server an outlier. Connections that break together count once.
func (b *Balancer) observeError(now time.Duration, a *attempt, ending Ending) {
	s := a.server
	if ending == Broken && a.sentAt < s.health.lastFailureAt {
		return
	}
	s.health.lastFailureAt = now
	if s.health.suspected {
		b.recordFailure(now, s)
	}
	s.health.suspected = true
}

// markHealthy resets a server's health after a successful response.
func (b *Balancer) markHealthy(now time.Duration, s *server) {
	wasOutlier := s.health.outlier
	s.lastSuccessAt = now
	s.health.reset()
	if wasOutlier {
		b.endpoints.updateWeights(now)
	}
}

// recordFailure makes a server an outlier and schedules its next recovery attempt.
func (b *Balancer) recordFailure(now time.Duration, s *server) {
	s.health.recoveryAt = now + b.backoff(s.health.consecutiveFailures)
	s.health.consecutiveFailures++
	s.health.outlier = true
	b.endpoints.updateWeights(now)
}
