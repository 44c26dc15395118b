package sidecar

import (
	"context"

	"barleywick/internal/overload"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/policy"
)

// newOverloadCounts returns the counters for overload digests.
func (l *eventLoop) newOverloadCounts() *overloadreporter.Counts {
	return overloadreporter.NewCounts(tenantNames(l.config), func(tenant int) (share float64, ok bool) {
		tenants := l.config.Policy.Tenants
		if tenant >= len(tenants) {
			return 0, false
		}
		return tenants[tenant].Share, true
	})
}

// digest returns the congestion and the counts since the previous digest, and resets the counts.
func (l *eventLoop) digest() overload.Digest {
	return overload.Digest{Congestion: min(1, l.balancer.Congestion(l.clock.now)), Tenants: l.observers.overload.Take()}
}

// OverloadDigest requests a digest from the loop.
func (l *eventLoop) OverloadDigest(ctx context.Context) (overload.Digest, error) {
	digest := make(chan overload.Digest, 1)
	if !l.post(digestRequested{digest}) {
		return overload.Digest{}, errLoopEnded
	}
	select {
	case d := <-digest:
		return d, nil
	case <-ctx.Done():
		return overload.Digest{}, ctx.Err()
	}
}

// ApplyAdvice makes the loop apply overload advice.
func (l *eventLoop) ApplyAdvice(a policy.OverloadAdvice) { l.post(adviceReceived{a}) }
