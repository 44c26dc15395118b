package sidecar

import (
	"context"

	"barleywick/internal/overload"
	"barleywick/internal/sidecar/outcome"
	"barleywick/policy"
)

// digestRequested asks the loop for what came to it since it was asked last.
type digestRequested struct{ digest chan<- overload.Digest }

// adviceReceived is the event of a word that is to be in force.
type adviceReceived struct{ advice policy.OverloadAdvice }

// countForOverload begins to count requests for the overload reporter.
func (l *eventLoop) countForOverload(tenants []string) {
	l.overloadCounts = make([]overload.TenantCounts, len(tenants))
	for i := range l.overloadCounts {
		l.overloadCounts[i] = overload.TenantCounts{Tenant: tenants[i], Quota: 1}
		if i < len(l.config.Policy.Tenants) {
			l.overloadCounts[i].Quota = l.config.Policy.Tenants[i].Share
		}
	}
}

// countOverload notes what became of a request.
func (l *eventLoop) countOverload(r *request, o outcome.Outcome) {
	c := &l.overloadCounts[r.tenant]
	switch o {
	case outcome.Refused:
		c.Refused++
	case outcome.Failed:
		c.Failed++
	case outcome.Late:
		c.Late++
	case outcome.InTime:
		c.InTime++
	}
}

// digest tells what was counted, and counts anew.
func (l *eventLoop) digest() overload.Digest {
	d := overload.Digest{Congestion: min(1, l.balancer.Congestion(l.now)), Tenants: append([]overload.TenantCounts(nil), l.overloadCounts...)}
	for i, c := range l.overloadCounts {
		l.overloadCounts[i] = overload.TenantCounts{Tenant: c.Tenant, Quota: c.Quota}
	}
	return d
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
