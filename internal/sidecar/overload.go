package sidecar

import (
	"context"

	"barleywick/internal/overload"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/policy"
)

// digestRequested asks the loop for what it counted since it was asked last.
type digestRequested struct{ digest chan<- overload.Digest }

// adviceReceived has the loop put advice into force.
type adviceReceived struct{ advice policy.OverloadAdvice }

// countForOverload begins to count requests for the overload reporter.
func (l *eventLoop) countForOverload() {
	l.overloadCounts = overloadreporter.NewCounts(l.tenantNames(), func(tenant int) (share float64, ok bool) {
		tenants := l.config.Policy.Tenants
		if tenant >= len(tenants) {
			return 0, false
		}
		return tenants[tenant].Share, true
	})
}

// digest returns what was counted, and counts anew.
func (l *eventLoop) digest() overload.Digest {
	return overload.Digest{Congestion: min(1, l.balancer.Congestion(l.now)), Tenants: l.overloadCounts.Take()}
}

// OverloadDigest has the loop return its counts, and counts anew.
func (l *eventLoop) OverloadDigest(ctx context.Context) (overload.Digest, error) {
	digest := make(chan overload.Digest, 1)
	if !l.post(digestRequested{digest}) {
		return overload.Digest{}, errEnded
	}
	select {
	case d := <-digest:
		return d, nil
	case <-ctx.Done():
		return overload.Digest{}, ctx.Err()
	}
}

// ApplyAdvice has the loop put advice into force.
func (l *eventLoop) ApplyAdvice(a policy.OverloadAdvice) { l.post(adviceReceived{a}) }
