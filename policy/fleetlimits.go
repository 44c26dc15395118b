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

// FleetLimits is the fleet's word on what this sidecar may do, within what it was configured
// for: each figure only tightens, and what is left out stays as configured.
type FleetLimits struct {
	Bulkheads   []BulkheadCapacity // by tenant
	MaxAttempts int
	NoProbes    bool
}
