package policy

import (
	"cmp"
	"time"
)

// Slow start: all balancers together must not overload a server that has just started. Each keeps to
// an even part of the server's budget of work, counted among the balancers that may use the server,
// however much traffic it has itself.

const (
	// slowStartBudgetShare is the part of the budget that is used. The rest is left to chance, as a few
	// heavy requests may meet.
	slowStartBudgetShare = 0.5
	// minSlowStartCharge is what a request is charged at least, as its expected work is rough.
	minSlowStartCharge = 0.5
	// maxSlowStartCharge is the relative work above which a request goes to warm servers only: a few
	// such requests use up the whole budget.
	maxSlowStartCharge = 12.0
	// minWarmUpShare and minSlowStartRate bound what a division makes of very small values.
	minWarmUpShare   = 0.05
	minSlowStartRate = 0.01 // sends a second
	// minClockStep is the smallest difference between wall clock and monotonic clock that is a step.
	minClockStep = time.Second
)

// slowStart is the state of a server that warms up.
type slowStart struct {
	warmAt   time.Duration // when the server has all of its capacity
	nextSend time.Duration // until then, this balancer's part of the budget is used up
}

// slowStartAllows says whether a server is warm or has a part of its budget left for a request.
func (b *Balancer) slowStartAllows(now time.Duration, r *request, s *server) bool {
	if now >= s.slowStart.warmAt {
		return true
	}
	return !b.takeover.otherProcess && now >= s.slowStart.nextSend &&
		!b.outsideSubset(s) && b.traffic.relativeWork(r) <= maxSlowStartCharge
}

// chargeSlowStart takes a request off this balancer's part of the budget of a server that warms up.
func (b *Balancer) chargeSlowStart(now time.Duration, r *request, s *server) {
	if now >= s.slowStart.warmAt {
		return
	}
	charge := max(b.traffic.relativeWork(r), minSlowStartCharge)
	s.slowStart.nextSend = now + time.Duration(charge*float64(b.slowStartInterval(now, s)))
}

// slowStartInterval is the time between two sends of average work to a server that warms up, by its
// capacity half way to the next send.
func (b *Balancer) slowStartInterval(now time.Duration, s *server) time.Duration {
	users := float64(b.cfg.Balancers)
	if b.traffic.low {
		users = max(1, users*b.subset.share)
	}
	// The quotas are close to what all servers can do. Without quotas the usual time of an answer is the
	// guide, for a balancer alone and for as many as there are servers.
	servers := float64(len(b.endpoints.servers))
	rate := cmp.Or(b.traffic.quota/users, min(1, servers/users)/b.traffic.usualLatency.Seconds())
	rate *= s.Weight / max(b.endpoints.readyWeight, s.Weight) * slowStartBudgetShare * max(b.cfg.OverloadFactor, 1)
	interval := float64(time.Second) / max(rate*b.warmUpShare(now, s), minSlowStartRate)
	halfWay := now + time.Duration(interval/2)
	return time.Duration(float64(time.Second) / max(rate*b.warmUpShare(halfWay, s), minSlowStartRate))
}

// warmUpShare is the share of its capacity that a server has at least.
func (b *Balancer) warmUpShare(now time.Duration, s *server) float64 {
	left := float64(max(0, s.slowStart.warmAt-now)) / float64(max(1, b.cfg.SlowStartWindow))
	return max(minWarmUpShare, 1-left*(1-b.cfg.SlowStartFloor))
}

// StartedAt converts the Unix time at which a server started, as the endpoint list gives it, to this
// process's monotonic clock; 0 means long ago. The wall clock has gained step on that clock since
// the process began. Whether the listed time is from before or after the step is unknown: the later
// reading counts, as to treat a warm server as warming up costs less than to overload one.
func StartedAt(listed, now, step time.Duration) time.Duration {
	if listed <= 0 {
		return 0
	}
	if step.Abs() < minClockStep {
		return min(listed, now)
	}
	if after := listed - step; listed > now || after > listed {
		return max(0, min(after, now))
	}
	return listed
}
