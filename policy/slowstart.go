package policy

import (
	"cmp"
	"time"
)

// Slow start: all balancers together must not overload a server that has just started. Regardless of its own
// traffic, each uses at most an even share of the server's work budget, divided among the balancers that may
// use the server.

const (
	// slowStartBudgetShare is the share of the budget that is used. The remainder is a reserve, since several
	// heavy requests may coincide.
	slowStartBudgetShare = 0.5
	// minSlowStartCharge is the minimum charge for a request, since its expected work is only an estimate.
	minSlowStartCharge = 0.5
	// maxSlowStartCharge is the relative work above which a request is sent only to warm servers, since a few
	// such requests would use up the whole budget.
	maxSlowStartCharge = 12.0
	// minWarmUpShare and minSlowStartRate limit the results of divisions by very small values.
	minWarmUpShare   = 0.05
	minSlowStartRate = 0.01 // sends per second
	// minClockStep is the smallest difference between wall clock and monotonic clock that counts as a step.
	minClockStep = time.Second
)

// slowStart is the slow start state of a server.
type slowStart struct {
	warmAt     time.Duration // when the server has its full capacity
	nextSendAt time.Duration // until then this balancer's share of the budget is used up
}

// slowStartAllows reports whether a server is warm, or this balancer's share of its budget permits the
// request.
func (b *Balancer) slowStartAllows(now time.Duration, r *request, s *server) bool {
	if now >= s.slowStart.warmAt {
		return true
	}
	return !b.takeover.otherProcessRunning && now >= s.slowStart.nextSendAt &&
		!b.outsideSubset(s) && b.traffic.relativeWork(r) <= maxSlowStartCharge
}

// chargeSlowStart charges a request to this balancer's share of the budget of a server that is warming up.
func (b *Balancer) chargeSlowStart(now time.Duration, r *request, s *server) {
	if now >= s.slowStart.warmAt {
		return
	}
	charge := max(b.traffic.relativeWork(r), minSlowStartCharge)
	s.slowStart.nextSendAt = now + time.Duration(charge*float64(b.slowStartInterval(now, s)))
}

// slowStartInterval returns the time between two sends of average work to a server that is warming up. It is
// based on the server's capacity halfway to the next send.
func (b *Balancer) slowStartInterval(now time.Duration, s *server) time.Duration {
	users := float64(b.cfg.Balancers)
	if b.traffic.low {
		users = max(1, users*b.subset.share)
	}
	// The sum of the quotas is close to the capacity of all servers. Without quotas the rate is derived from
	// the average latency, for one balancer and for as many balancers as there are servers.
	servers := float64(len(b.endpoints.servers))
	rate := cmp.Or(b.traffic.quota/users, min(1, servers/users)/b.traffic.averageLatency.Seconds())
	rate *= s.Weight / max(b.endpoints.readyWeight, s.Weight) * slowStartBudgetShare * max(b.cfg.OverloadFactor, 1)
	interval := float64(time.Second) / max(rate*b.warmUpShare(now, s), minSlowStartRate)
	halfWay := now + time.Duration(interval/2)
	return time.Duration(float64(time.Second) / max(rate*b.warmUpShare(halfWay, s), minSlowStartRate))
}

// warmUpShare returns the minimum share of its capacity that a server has now.
func (b *Balancer) warmUpShare(now time.Duration, s *server) float64 {
	left := float64(max(0, s.slowStart.warmAt-now)) / float64(max(1, b.cfg.SlowStartWindow))
	return max(minWarmUpShare, 1-left*(1-b.cfg.SlowStartFloor))
}

// StartedAt converts the listed Unix time at which a server started to this process's monotonic clock; 0
// means long ago. Since the process started, the wall clock has gained step on the monotonic clock. It is
// unknown whether the listed time precedes the step. The later interpretation is used, since treating a warm
// server as warming up costs less than overloading a cold one.
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
