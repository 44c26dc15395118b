package policy

import "time"

// SetFleetLimits puts another Rule in force. What is under way ends under the walls that took
// it; a queue keeps all it has, unless its tenant is to be served no more.
func (b *Balancer) SetFleetLimits(now time.Duration, r FleetLimits) {
	b.rule = r
	b.govern()
	for i := range b.parts {
		for c := &b.parts[i]; c.slots == 0 && len(c.queue) > 0; {
			b.finish(c.queue[0])
		}
	}
	b.feed(now)
}

// govern sizes what the rule and the configuration both size: the stricter counts.
func (b *Balancer) govern() {
	b.cfg.MaxAttempts, b.cfg.MayProbe = b.attempts, b.probing && !b.rule.NoProbes
	if n := b.rule.MaxAttempts; n > 0 {
		b.cfg.MaxAttempts = min(n, b.attempts)
	}
	if b.leaving {
		return // it keeps what it needs to end, and no more
	}
	b.slots = 0
	for i, w := range b.walls {
		if i < len(b.rule.Bulkheads) {
			w = BulkheadCapacity{min(w.Slots, b.rule.Bulkheads[i].Slots), min(w.Places, b.rule.Bulkheads[i].Places)}
		}
		b.parts[i].slots, b.parts[i].places = w.Slots, w.Places
		b.slots += w.Slots
	}
}

// SetFleetSize takes another count of the balancers in. One below what is configured is not believed.
func (b *Balancer) SetFleetSize(n int) { b.cfg.Balancers = max(b.balancers, n) }

const (
	// adviceMost is how long advice counts at most, and adviceFade the end of that, in
	// which it counts less and less: who has lost its task goes back without a step.
	adviceMost, adviceFade = 3 * time.Second, time.Second
	adviceJam              = 0.2 // advice counts in full from this jam on, and not at all where nothing jams
)

// Advise takes the fleet's word on an overload.
func (b *Balancer) Advise(now time.Duration, a OverloadAdvice) {
	b.advice, b.advisedTill = a.AdmittedShares, now+min(a.ValidFor, adviceMost)
}

// advised is the part of a tenant's requests that is not to be tried.
func (b *Balancer) advised(now time.Duration, tenant int) float64 {
	if now >= b.advisedTill || tenant >= len(b.advice) {
		return 0
	}
	counts := min(1, float64(b.advisedTill-now)/float64(adviceFade)) * min(1, b.jam(now)/adviceJam)
	return counts * (1 - max(0, min(1, b.advice[tenant])))
}
