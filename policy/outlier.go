package policy

import "time"

const (
	initialBackoff = 250 * time.Millisecond // before a server judged unwell is tried again
	maxBackoff     = 4 * time.Second        // doubled after each failure up to this
)

// backoff is the pause after n failures, spread so that balancers do not act as one.
func (b *Balancer) backoff(n int) time.Duration {
	d := min(initialBackoff<<min(n, 16), maxBackoff)
	return time.Duration(float64(d) * (0.5 + b.rng.Float64()))
}

// observeOutcome learns from the end of an attempt.
func (b *Balancer) observeOutcome(now time.Duration, r *request, a *attempt, end Ending) {
	s, took := a.server, now-a.sentAt
	if end == Served || end == TimedOut {
		x := float64(took) / float64(r.class.LatencyObjective)
		s.objectiveUse += (x*x - s.objectiveUse) / 8
	}
	b.observeLatency(now, r, s, took, end)
	if end == Served || end == Errored || end == Rejected {
		b.heardFrom(now, s)
	}
	switch end {
	case Served:
		r.class.usualLatency += (took - r.class.usualLatency) / 16
		b.usualLatency += (took - b.usualLatency) / 32
		b.markHealthy(now, s)
	case TimedOut:
		if s.answeredAt <= a.sentAt {
			s.unresponsive, b.anyUnresponsive = true, true
			b.recordFailure(now, s) // nothing at all came from it meanwhile
		}
	case Errored, Broken: // one may be chance; a server that fails all it gets is not
		if end == Broken && a.sentAt < s.lastFailureAt {
			break // its connections broke all at once
		}
		if s.lastFailureAt = now; s.suspected {
			b.recordFailure(now, s)
		}
		s.suspected = true
	case NoConnection:
		s.unresponsive, b.anyUnresponsive = true, true
		b.recordFailure(now, s)
	case Rejected:
		b.recordFailure(now, s)
	}
}

// markHealthy takes a good answer: whatever was held against a server is over.
func (b *Balancer) markHealthy(now time.Duration, s *server) {
	s.answeredAt, s.consecutiveFailures, s.suspected = now, 0, false
	if s.outlier {
		s.outlier = false
		b.updateWeights(now)
	}
}

// recordFailure takes evidence against a server: it loses its turn but for a trial after a pause.
func (b *Balancer) recordFailure(now time.Duration, s *server) {
	s.recoveryAt = now + b.backoff(s.consecutiveFailures)
	s.consecutiveFailures++
	s.outlier = true
	b.updateWeights(now)
}

// reportedInFlight is how many requests a server holds by its report, or negative. Where that says only what waits, the
// busy part of its cores is what it works on: a listed size of 1 stands for about one core.
func (s *server) reportedInFlight(l LoadReport) float64 {
	if l.InFlight >= 0 || l.Queued < 0 {
		return l.InFlight
	}
	return l.Queued + max(0, l.Utilization)*s.Weight
}
