package policy

import "time"

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

// OverloadAdvice is the fleet's word on an overload: what part of each tenant's new requests may
// be tried, by tenant. It only tightens, and only for a while.
type OverloadAdvice struct {
	AdmittedShares []float64
	ValidFor       time.Duration
}
