package sidecar

import (
	"context"
	"sync"
	"time"

	"barleywick/internal/rollout"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

const (
	// noPolicyRetryAfter is the Retry-After of a sidecar that may not act, spread.
	noPolicyRetryAfter = time.Second
)

// fleetPolicyReceived is the event of a policy that is to be in force.
type fleetPolicyReceived struct {
	rule policy.FleetLimits
	done chan<- struct{}
}

// fleetLimits is what a document says to the decision module.
func (l *eventLoop) fleetLimits(d *rollout.Document) (r policy.FleetLimits) {
	if d == nil {
		return r
	}
	for _, name := range l.tenantNames() {
		t := d.Tenant(name)
		r.Bulkheads = append(r.Bulkheads, policy.BulkheadCapacity{Slots: t.Slots, Places: t.QueuePlaces})
	}
	r.MaxAttempts, r.NoProbes = d.MaxAttempts, d.NoProbes
	return r
}

// applyFleetPolicy has the loop put a policy in force, and returns when it has.
func (l *eventLoop) applyFleetPolicy(ctx context.Context, d *rollout.Document) error {
	done := make(chan struct{})
	if !l.post(fleetPolicyReceived{l.fleetLimits(d), done}) {
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
// counts.
type policyEnforcer struct {
	config   *config.Config
	loop     *eventLoop
	listener *limitedListener
	pool     *upstream.Pool

	mu       sync.Mutex
	document *rollout.Document // in force; nil: the configuration counts alone
}

// EnforcePolicy puts a document into force, and returns when it is.
func (e *policyEnforcer) EnforcePolicy(ctx context.Context, d *rollout.Document) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.document = d
	e.applyConnectionLimitsLocked()
	return e.loop.applyFleetPolicy(ctx, d)
}

// applyConnectionLimits puts the limits on connections into force, as the configuration has them now.
func (e *policyEnforcer) applyConnectionLimits() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyConnectionLimitsLocked()
}

func (e *policyEnforcer) applyConnectionLimitsLocked() {
	limits := e.config.Connections.WithinPolicy(e.document)
	e.listener.setLimits(limits.Clients)
	e.pool.SetLimits(limits.Servers)
}
