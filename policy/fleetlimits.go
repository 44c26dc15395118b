package policy

import "time"

// FleetLimits is what the fleet policy leaves of the configured limits. Each limit can only become
// stricter, and one that is left out stays as it is configured.
type FleetLimits struct {
	Bulkheads   []BulkheadCapacity // by tenant
	MaxAttempts int                // 0: as configured
	NoProbes    bool
}

// fleetLimits are the fleet limits in force, and the configured values that they limit.
type fleetLimits struct {
	fleet       FleetLimits
	maxAttempts int
	mayProbe    bool
	balancers   int
}

func configuredLimits(cfg Config) fleetLimits {
	return fleetLimits{maxAttempts: cfg.MaxAttempts, mayProbe: cfg.MayProbe, balancers: cfg.Balancers}
}

// SetFleetLimits puts other fleet limits in force. Attempts in flight end under the limits that they
// began under. A queue keeps its requests unless its tenant is not to be served any more.
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

// applyFleetLimits puts the stricter of the configured and the fleet's limits in force. A process that
// has handed over keeps the bulkheads that it needs to end.
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

// SetFleetSize takes another number of balancers. One below the configured number is not believed.
func (b *Balancer) SetFleetSize(n int) { b.cfg.Balancers = max(b.limits.balancers, n) }
