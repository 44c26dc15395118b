package sidecar

import (
	"context"
	"sync"

	"barleywick/internal/rollout"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// fleetLimits returns the limits that a policy document sets for the balancer.
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

// applyFleetPolicy makes the loop apply a policy, and returns when the policy is in effect.
func (l *eventLoop) applyFleetPolicy(ctx context.Context, d *rollout.Document) error {
	done := make(chan struct{})
	if !l.post(fleetPolicyReceived{fleetLimits(d, tenantNames(l.config)), done}) {
		return errLoopEnded
	}
	select {
	case <-done:
		return nil
	case <-l.lifetime.Done():
		return errLoopEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// policyEnforcer applies the fleet policy to this sidecar: the stricter of policy and configuration
// applies. It gets the configured limits from the service, and the policy from the policy follower.
type policyEnforcer struct {
	loop     *eventLoop
	listener *limitedListener
	pool     *upstream.Pool

	mu         sync.Mutex
	configured config.ConnectionLimits // limits of the configuration read last
	document   *rollout.Document       // the policy in effect; nil: only the configuration applies
}

func newPolicyEnforcer(c *config.Config, l *eventLoop, listener *limitedListener, pool *upstream.Pool) *policyEnforcer {
	return &policyEnforcer{configured: c.Connections, loop: l, listener: listener, pool: pool}
}

// EnforcePolicy applies a policy document, and returns when it is in effect.
func (e *policyEnforcer) EnforcePolicy(ctx context.Context, d *rollout.Document) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.document = d
	e.applyConnectionLimitsLocked()
	return e.loop.applyFleetPolicy(ctx, d)
}

// configureLimits applies the connection limits of a reloaded configuration.
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
