package policy

import "time"

const (
	// maxAdviceAge is the longest time for which overload advice applies.
	maxAdviceAge = 3 * time.Second
	// adviceFadeOut is the period before its expiry in which the effect of advice decreases linearly, so that
	// a balancer that lost its overload controller returns gradually to its own decisions.
	adviceFadeOut = time.Second
	// adviceFullEffectCongestion is the congestion from which advice has its full effect. The effect decreases
	// linearly below it; without congestion advice has none.
	adviceFullEffectCongestion = 0.2
)

// OverloadAdvice is the share of each tenant's new requests that a balancer may admit. Advice can only
// increase the number of refused requests, and it expires.
type OverloadAdvice struct {
	AdmittedShares []float64 // by tenant
	ValidFor       time.Duration
}

// activeAdvice is the overload advice received last.
type activeAdvice struct {
	admittedShares []float64 // by tenant
	until          time.Duration
}

// Advise replaces the overload advice. It applies for ValidFor, but not longer than maxAdviceAge.
func (b *Balancer) Advise(now time.Duration, a OverloadAdvice) {
	b.advice = activeAdvice{a.AdmittedShares, now + min(a.ValidFor, maxAdviceAge)}
}

// adviceRejectedShare returns the share of a tenant's new requests to refuse because of overload advice.
func (b *Balancer) adviceRejectedShare(now time.Duration, tenant int) float64 {
	if now >= b.advice.until || tenant >= len(b.advice.admittedShares) {
		return 0
	}
	freshness := min(1, float64(b.advice.until-now)/float64(adviceFadeOut))
	relevance := min(1, b.congestion.level(now)/adviceFullEffectCongestion)
	return freshness * relevance * (1 - max(0, min(1, b.advice.admittedShares[tenant])))
}
