package policy

import "time"

// FleetLimits are the limits set by the fleet policy. They can only be stricter than the configured limits; a
// limit that is not set stays as configured.
type FleetLimits struct {
	Bulkheads   []BulkheadCapacity // by tenant
	MaxAttempts int                // 0: as configured
	NoProbes    bool
}

// fleetLimits are the fleet limits in force and the configured values that they restrict.
type fleetLimits struct {
	fleet       FleetLimits
	maxAttempts int
	mayProbe    bool
	balancers   int
}

func configuredLimits(cfg Config) fleetLimits {
	return fleetLimits{maxAttempts: cfg.MaxAttempts, mayProbe: cfg.MayProbe, balancers: cfg.Balancers}
}

// SetFleetLimits replaces the fleet limits. Attempts in flight are not affected. Queued requests stay in the
// queue, unless their tenant has no slots any more: those are finished immediately.
func (b *Balancer) SetFleetLimits(now time.Duration, limits FleetLimits) {
	b.limits.fleet = limits
	b.applyFleetLimits()
	for i := range b.bulkheads.byTenant {
		for bh := &b.bulkheads.byTenant[i]; bh.capacity.Slots == 0 && len(bh.queue) > 0; {
			b.finish(bh.queue[0])
		}
	}
	b.dispatchQueued(now)
}

// applyFleetLimits applies the stricter of the configured and the fleet's limits. A process that has handed
// over keeps the bulkhead capacity that it needs for its remaining requests.
func (b *Balancer) applyFleetLimits() {
	b.cfg.MayProbe = b.limits.mayProbe && !b.limits.fleet.NoProbes
	b.cfg.MaxAttempts = b.limits.maxAttempts
	if n := b.limits.fleet.MaxAttempts; n > 0 {
		b.cfg.MaxAttempts = min(n, b.limits.maxAttempts)
	}
	if !b.takeover.handedOver {
		b.bulkheads.limit(b.limits.fleet.Bulkheads)
	}
}

// SetFleetSize sets the number of balancers. Values below the configured number are raised to it, since a low
// count would increase this balancer's share of budgets.
func (b *Balancer) SetFleetSize(n int) { b.cfg.Balancers = max(b.limits.balancers, n) }
