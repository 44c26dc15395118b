package emulator

import (
	"testing"
)

// others returns the served share of the tenants without a burst.
func otherTenantsShare(r *Record) (share float64) {
	var p WeightShare
	for _, t := range r.Tenants[:len(r.Tenants)-1] {
		p.Requested += t.Requested
		p.Served += t.Served
	}
	return p.Share()
}

// A tenant that requests a hundred times its share costs the others less where the
// fleet has overload advice; advice that is lost, or lost for some sidecars, costs no more than none.
func TestOverloadAdviceProtectsOtherTenants(t *testing.T) {
	with := func(seed uint64, change func(*Scenario)) *Record {
		sc := presetScenario(t, "greedy", 120, 14)
		change(sc)
		r := runScenario(t, sc, seed, NewBalancer)
		if len(r.ViolationTexts) > 0 {
			t.Errorf("seed %d: %v", seed, r.ViolationTexts)
		}
		return r
	}
	var quiet, none, some, half, lost float64
	const seeds = 2
	for seed := range uint64(seeds) {
		quiet += otherTenantsShare(with(seed, func(s *Scenario) { s.OverloadAdvice, s.Faults = false, nil })) / seeds
		none += otherTenantsShare(with(seed, func(s *Scenario) { s.OverloadAdvice, s.Faults = false, s.Faults[:1] })) / seeds
		some += otherTenantsShare(with(seed, func(s *Scenario) { s.Faults = s.Faults[:1] })) / seeds
		half += otherTenantsShare(with(seed, func(s *Scenario) { s.Faults[1].Part, s.Faults[1].Duration = 0.5, fromSeconds(20) })) / seeds
		lost += otherTenantsShare(with(seed, func(s *Scenario) { s.Faults[1].Start, s.Faults[1].Duration = fromSeconds(9), fromSeconds(20) })) / seeds
	}
	t.Logf("share of the other tenants: no burst %.4f, no advice %.4f, advice %.4f, half of the sidecars disconnected %.4f, task lost %.4f", quiet, none, some, half, lost)
	if some < none+0.005 || half < none-0.005 || lost < none-0.005 {
		t.Errorf("no advice %.4f, advice %.4f, half disconnected %.4f, lost %.4f", none, some, half, lost)
	}
}

// A surge of which each sidecar of a large fleet sees a small part costs it no more than a small fleet.
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
	t.Logf("goodput in the surge: %.3f with 15 sidecars, %.3f with 400, %.2f sends for a request", small, large, sends)
	if large < 0.8*small || sends > 1 {
		t.Errorf("goodput in the surge: %.3f with 15 sidecars, %.3f with 400, %.2f sends for a request", small, large, sends)
	}
}
