package policy

import (
	"cmp"
	"time"
)

// Slow start: all balancers together must not push over a server that has just started. Each keeps to an even
// part of its budget of work, counted among those that may use it, whatever traffic it has itself.

const (
	// slowStartBudgetShare is how much of a cold server's budget is used; the rest is left to
	// chance, as a few heavy requests may meet.
	slowStartBudgetShare = 0.5
	subsetShareMargin    = 0.05 // of the balancers, more than the mean, may keep to a server by chance
	// minSlowStartCharge is what a request is charged at least, as the hint of its work is rough; one
	// of more than maxSlowStartCharge goes to warm servers only: a few of those are a whole budget.
	minSlowStartCharge, maxSlowStartCharge = 0.5, 12.0
)

// slowStartAllows says whether a server is warm, or else has some of its budget left for a request of this balancer.
func (b *Balancer) slowStartAllows(now time.Duration, r *request, s *server) bool {
	return now >= s.warmAt || (!b.twoProcesses && now >= s.nextSlowStartSend && !b.outsideSubset(s) && b.relativeWork(r) <= maxSlowStartCharge)
}

// chargeSlowStart takes a request out of this balancer's part of a cold server's budget.
func (b *Balancer) chargeSlowStart(now time.Duration, r *request, s *server) {
	if now < s.warmAt {
		s.nextSlowStartSend = now + time.Duration(max(b.relativeWork(r), minSlowStartCharge)*float64(b.slowStartInterval(now, s)))
	}
}

// relativeWork is a request's expected work against the average; 1 where it is unknown.
func (b *Balancer) relativeWork(r *request) float64 {
	if r.expectedWork <= 0 || b.averageWork <= 0 {
		return 1
	}
	return float64(r.expectedWork) / b.averageWork
}

// learnWork learns what work requests bring on average.
func (b *Balancer) learnWork(work time.Duration) {
	switch {
	case work <= 0:
	case b.averageWork == 0:
		b.averageWork = float64(work)
	default:
		b.averageWork += (float64(work) - b.averageWork) / 64
	}
}

// slowStartInterval spaces sends to a cold server by its warmth half way to the next one.
func (b *Balancer) slowStartInterval(now time.Duration, s *server) time.Duration {
	users := float64(b.cfg.Balancers)
	if b.lowTraffic {
		users = max(1, users*b.subsetShare)
	}
	// The quotas are close to what all servers can do; without them one answer's time is the guide, for
	// one balancer alone and for as many as there are servers.
	rate := cmp.Or(b.totalQuota/users, min(1, float64(len(b.servers))/users)/b.usualLatency.Seconds())
	rate *= s.Weight / max(b.readyWeight, s.Weight) * slowStartBudgetShare * max(b.cfg.OverloadFactor, 1)
	gap := float64(time.Second) / max(rate*b.warmUpShare(now, s), 0.01)
	return time.Duration(float64(time.Second) / max(rate*b.warmUpShare(now+time.Duration(gap/2), s), 0.01))
}

// warmUpShare is the share of its capacity that a server has at least.
func (b *Balancer) warmUpShare(now time.Duration, s *server) float64 {
	left := float64(max(0, s.warmAt-now)) / float64(max(1, b.cfg.SlowStartWindow))
	return max(0.05, 1-left*(1-b.cfg.SlowStartFloor))
}

// minClockStep is from how much on a difference between the wall clock and the monotonic one is a step.
const minClockStep = time.Second

// StartedAt is when a server started, on this process's clock, by the Unix time that the list gives
// for it; 0: long ago. This process's clock ran on evenly while the wall clock has gone ahead of it by
// step since. Whether the list's time is from before or after the step cannot be told: the later reading
// counts, as a server that is held to be cold for too long costs less than one that is pushed over.
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
