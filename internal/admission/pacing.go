package admission

import "time"

// PacingLimits bound how often connections may get answers that no booking server made. Such an answer costs its
// client nothing, so a client can request them at full speed.
type PacingLimits struct {
	Interval time.Duration // of one connection, in the long run
	Burst    time.Duration // how far a connection may be ahead of Interval
	// TotalInterval and TotalBurst are the same for all connections together. They delay only connections that
	// are ahead of their own Interval by more than Burst.
	TotalInterval time.Duration
	TotalBurst    time.Duration
	// UselessInterval is the same for connections that end without a request that was accepted, of all clients together.
	UselessInterval time.Duration
	MaxDelay        time.Duration // of one request: its own timeout is running
}

// Pacer decides when a connection may begin its next request. It is not safe for concurrent use.
type Pacer struct {
	limits    PacingLimits
	paidTo    time.Time // the answers of all connections, one each TotalInterval, reach up to this time
	uselessTo time.Time // the same for connections that ended without a request that was accepted
}

// PacedConn is a connection's state in a Pacer. The zero value is a new connection.
type PacedConn struct {
	paidTo time.Time // the connection's answers, one each Interval, reach up to this time
}

// NewPacer returns a Pacer.
func NewPacer(limits PacingLimits) *Pacer { return &Pacer{limits: limits} }

// Answered records an answer that no booking server made, and returns how long the connection's next request
// has to wait.
func (p *Pacer) Answered(c *PacedConn, now time.Time) time.Duration {
	p.paidTo = advance(p.paidTo, now, p.limits.TotalInterval, p.limits.TotalBurst+p.limits.MaxDelay)
	c.paidTo = advance(c.paidTo, now, p.limits.Interval, p.limits.Burst+p.limits.MaxDelay)
	ahead := c.paidTo.Sub(now) - p.limits.Burst
	if ahead <= 0 {
		return 0
	}
	return min(max(ahead, p.Delay(now)), p.limits.MaxDelay)
}

// Delay returns by how much the answers of all connections together are ahead of their limit.
func (p *Pacer) Delay(now time.Time) time.Duration {
	return ahead(p.paidTo, now, p.limits.TotalBurst)
}

// ConnectionUseless records a connection that ended after its client had sent something, and without a request that was
// accepted.
func (p *Pacer) ConnectionUseless(now time.Time) {
	p.uselessTo = advance(p.uselessTo, now, p.limits.UselessInterval, p.limits.TotalBurst+p.limits.MaxDelay)
}

// AcceptDelay returns how long the next connection should not be accepted. Others wait behind it: answers do not count
// here, which delay only the connections that get too many.
func (p *Pacer) AcceptDelay(now time.Time) time.Duration {
	return ahead(p.uselessTo, now, p.limits.TotalBurst)
}

// ahead returns by how much paidTo is more than burst after now.
func ahead(paidTo, now time.Time, burst time.Duration) time.Duration {
	if paidTo.Before(now) {
		return 0
	}
	return max(0, paidTo.Sub(now)-burst)
}

// advance returns paidTo, or now if that is later, plus interval, and at most limit after now.
func advance(paidTo, now time.Time, interval, limit time.Duration) time.Time {
	if paidTo.Before(now) {
		paidTo = now
	}
	if latest := now.Add(limit); paidTo.After(latest) {
		return latest
	}
	return paidTo.Add(interval)
}
