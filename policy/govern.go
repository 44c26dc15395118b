package policy

import "time"

// SetFleetLimits puts another Rule in force. What is under way ends under the walls that took
// it; a queue keeps all it has, unless its tenant is to be served no more.
func (b *Balancer) SetFleetLimits(now time.Duration, r FleetLimits) {
	b.fleetLimits = r
	b.applyFleetLimits()
	for i := range b.bulkheads {
		for c := &b.bulkheads[i]; c.slots == 0 && len(c.queue) > 0; {
			b.finish(c.queue[0])
		}
	}
	b.dispatchQueued(now)
}

// applyFleetLimits sizes what the rule and the configuration both size: the stricter counts.
func (b *Balancer) applyFleetLimits() {
	b.cfg.MaxAttempts, b.cfg.MayProbe = b.configuredAttempts, b.configuredProbing && !b.fleetLimits.NoProbes
	if n := b.fleetLimits.MaxAttempts; n > 0 {
		b.cfg.MaxAttempts = min(n, b.configuredAttempts)
	}
	if b.handedOver {
		return // it keeps what it needs to end, and no more
	}
	b.totalSlots = 0
	for i, w := range b.configuredBulkheads {
		if i < len(b.fleetLimits.Bulkheads) {
			w = BulkheadCapacity{min(w.Slots, b.fleetLimits.Bulkheads[i].Slots), min(w.Places, b.fleetLimits.Bulkheads[i].Places)}
		}
		b.bulkheads[i].slots, b.bulkheads[i].queuePlaces = w.Slots, w.Places
		b.totalSlots += w.Slots
	}
}

// SetFleetSize takes another count of the balancers in. One below what is configured is not believed.
func (b *Balancer) SetFleetSize(n int) { b.cfg.Balancers = max(b.configuredBalancers, n) }

const (
	// maxAdviceAge is how long advice counts at most, and adviceFadeOut the end of that, in
	// which it counts less and less: who has lost its task goes back without a step.
	maxAdviceAge, adviceFadeOut = 3 * time.Second, time.Second
	adviceFullCongestion        = 0.2 // advice counts in full from this jam on, and not at all where nothing jams
)

// Advise takes the fleet's word on an overload.
func (b *Balancer) Advise(now time.Duration, a OverloadAdvice) {
	b.admittedShares, b.adviceUntil = a.AdmittedShares, now+min(a.ValidFor, maxAdviceAge)
}

// adviceRejects is the part of a tenant's requests that is not to be tried.
func (b *Balancer) adviceRejects(now time.Duration, tenant int) float64 {
	if now >= b.adviceUntil || tenant >= len(b.admittedShares) {
		return 0
	}
	counts := min(1, float64(b.adviceUntil-now)/float64(adviceFadeOut)) * min(1, b.congestion(now)/adviceFullCongestion)
	return counts * (1 - max(0, min(1, b.admittedShares[tenant])))
}
