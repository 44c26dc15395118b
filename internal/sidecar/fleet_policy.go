package sidecar

import (
	"context"
	"sync"

	"barleywick/internal/rollout"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// fleetLimits returns what a policy document says to the balancer.
func fleetLimits(d *rollout.Document, tenants []string) policy.FleetLimits {
	var limits policy.FleetLimits
	if d == nil {
		return limits
	}
	for _, name := range tenants {
		t := d.Tenant(name)
		limits.Bulkheads = append(limits.Bulkheads, policy.BulkheadCapacity{Slots: t.Slots, Places: t.QueuePlaces})
	}
	limits.MaxAttempts, limits.NoProbes = d.MaxAttempts, d.NoProbes
	return limits
}

// applyFleetPolicy has the loop put a policy into force, and returns when it is.
func (l *eventLoop) applyFleetPolicy(ctx context.Context, d *rollout.Document) error {
	done := make(chan struct{})
	if !l.post(fleetPolicyReceived{fleetLimits(d, tenantNames(l.config)), done}) {
		return errEnded
	}
	select {
	case <-done:
		return nil
	case <-l.lifetime.Done():
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// policyEnforcer applies the fleet policy to this sidecar: the stricter of policy and configuration
// counts. The service tells it the configuration's limits, the policy follower the policy.
type policyEnforcer struct {
	loop     *eventLoop
	listener *limitedListener
	pool     *upstream.Pool

	mu         sync.Mutex
	configured config.ConnectionLimits // of the configuration as it was read last
	document   *rollout.Document       // in force; nil: the configuration counts alone
}

func newPolicyEnforcer(c *config.Config, l *eventLoop, listener *limitedListener, pool *upstream.Pool) *policyEnforcer {
	return &policyEnforcer{configured: c.Connections, loop: l, listener: listener, pool: pool}
}

// EnforcePolicy puts a document into force, and returns when it is.
func (e *policyEnforcer) EnforcePolicy(ctx context.Context, d *rollout.Document) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.document = d
	e.applyConnectionLimitsLocked()
	return e.loop.applyFleetPolicy(ctx, d)
}

// configureLimits puts the limits on connections of a configuration that was read again into force.
func (e *policyEnforcer) configureLimits(limits config.ConnectionLimits) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.configured = limits
	e.applyConnectionLimitsLocked()
}

func (e *policyEnforcer) applyConnectionLimitsLocked() {
	limits := e.configured.WithinPolicy(e.document)
	e.listener.setLimits(limits.Clients)
	e.pool.SetLimits(limits.Servers)
}
