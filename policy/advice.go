package policy

import "time"

const (
	// maxAdviceAge is how long advice counts at most.
	maxAdviceAge = 3 * time.Second
	// adviceFadeOut is the last part of that time, in which advice counts less and less: a balancer that
	// has lost the overload controller returns to its own decisions without a step.
	adviceFadeOut = time.Second
	// adviceFullCongestion is the congestion from which on advice counts in full. Without any congestion
	// it does not count.
	adviceFullCongestion = 0.2
)

// OverloadAdvice is which part of each tenant's new requests may be tried. It can only make a balancer
// stricter, and only for a while.
type OverloadAdvice struct {
	AdmittedShares []float64 // by tenant
	ValidFor       time.Duration
}

// adviceInForce is the last overload advice.
type adviceInForce struct {
	admittedShares []float64 // by tenant
	until          time.Duration
}

// Advise takes overload advice.
func (b *Balancer) Advise(now time.Duration, a OverloadAdvice) {
	b.advice = adviceInForce{a.AdmittedShares, now + min(a.ValidFor, maxAdviceAge)}
}

// adviceRejects is the part of a tenant's requests that is not to be tried.
func (b *Balancer) adviceRejects(now time.Duration, tenant int) float64 {
	if now >= b.advice.until || tenant >= len(b.advice.admittedShares) {
		return 0
	}
	freshness := min(1, float64(b.advice.until-now)/float64(adviceFadeOut))
	relevance := min(1, b.congestion.level(now)/adviceFullCongestion)
	return freshness * relevance * (1 - max(0, min(1, b.advice.admittedShares[tenant])))
}
