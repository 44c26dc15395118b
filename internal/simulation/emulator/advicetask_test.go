package emulator

import (
	"testing"
)

// otherTenantsShare returns the served share of the tenants without a burst.
func otherTenantsShare(r *Record) (share float64) {
	var p WeightShare
	for _, t := range r.Tenants[:len(r.Tenants)-1] {
		p.Requested += t.Requested
		p.Served += t.Served
	}
	return p.Share()
}

// A tenant that requests a hundred times its share takes less from the other tenants if the fleet has overload
// advice. If the advice is lost for some or all sidecars, the others fare no worse than without advice.
func TestOverloadAdviceProtectsOtherTenants(t *testing.T) {
	run := func(seed uint64, change func(*Scenario)) *Record {
		sc := presetScenario(t, "greedy", 120, 14)
		change(sc)
		r := runScenario(t, sc, seed, NewBalancer)
		if len(r.ViolationTexts) > 0 {
			t.Errorf("seed %d: got violations %v, want none", seed, r.ViolationTexts)
		}
		return r
	}
	var noBurst, noAdvice, withAdvice, halfDisconnected, taskLost float64
	const seeds = 2
	for seed := range uint64(seeds) {
		noBurst += otherTenantsShare(run(seed, func(s *Scenario) { s.OverloadAdvice, s.Faults = false, nil })) / seeds
		noAdvice += otherTenantsShare(run(seed, func(s *Scenario) { s.OverloadAdvice, s.Faults = false, s.Faults[:1] })) / seeds
		withAdvice += otherTenantsShare(run(seed, func(s *Scenario) { s.Faults = s.Faults[:1] })) / seeds
		halfDisconnected += otherTenantsShare(run(seed, func(s *Scenario) { s.Faults[1].Part, s.Faults[1].Duration = 0.5, fromSeconds(20) })) / seeds
		taskLost += otherTenantsShare(run(seed, func(s *Scenario) { s.Faults[1].Start, s.Faults[1].Duration = fromSeconds(9), fromSeconds(20) })) / seeds
	}
	t.Logf("share of the other tenants: no burst %.4f, no advice %.4f, advice %.4f, half of the sidecars disconnected %.4f, task lost %.4f", noBurst, noAdvice, withAdvice, halfDisconnected, taskLost)
	if withAdvice < noAdvice+0.005 || halfDisconnected < noAdvice-0.005 || taskLost < noAdvice-0.005 {
		t.Errorf("share of the other tenants: no advice %.4f, advice %.4f, half disconnected %.4f, task lost %.4f; want more with advice and no less without", noAdvice, withAdvice, halfDisconnected, taskLost)
	}
}

// In a large fleet each sidecar sees only a small part of a surge. The fleet must nevertheless serve about as
// much of it as a small fleet, without more than one attempt per request.
func TestSurgeCostsLargeFleetNoMore(t *testing.T) {
	goodput := func(sidecars int) (share, sends float64) {
		sc := presetScenario(t, "surge", sidecars, 30)
		r := runScenario(t, sc, 1, NewBalancer)
		var p WeightShare
		for _, w := range r.Windows[10:16] {
			p.Requested += w.WeightShare.Requested
			p.Served += w.Served
		}
		return p.Share(), float64(r.Sends) / float64(r.Requests)
	}
	small, _ := goodput(15)
	large, sends := goodput(400)
	t.Logf("goodput in the surge: %.3f with 15 sidecars, %.3f with 400, %.2f sends per request", small, large, sends)
	if large < 0.8*small || sends > 1 {
		t.Errorf("goodput in the surge: %.3f with 15 sidecars, %.3f with 400, %.2f sends per request; want at least 0.8 of the former and at most 1 send", small, large, sends)
	}
}
