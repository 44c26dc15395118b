package emulator

import (
	"testing"
)

// others is what the tenants have had of theirs that did not ask for more.
func others(r *Record) (share float64) {
	var p WeightShare
	for _, t := range r.Tenants[:len(r.Tenants)-1] {
		p.Requested += t.Requested
		p.Served += t.Served
	}
	return p.Share()
}

// One tenant that asks for a hundred times its share costs the others less where the
// fleet has a word; a word that is lost, or lost for a part, costs nothing beside none.
func TestTheFleetsWordKeepsOneTenantOffTheOthers(t *testing.T) {
	with := func(seed uint64, change func(*Scenario)) *Record {
		sc := day(t, "greedy", 120, 14)
		change(sc)
		r := play(t, sc, seed, NewBalancer)
		if len(r.ViolationTexts) > 0 {
			t.Errorf("seed %d: %v", seed, r.ViolationTexts)
		}
		return r
	}
	var quiet, none, some, half, lost float64
	const seeds = 2
	for seed := range uint64(seeds) {
		quiet += others(with(seed, func(s *Scenario) { s.OverloadAdvice, s.Faults = false, nil })) / seeds
		none += others(with(seed, func(s *Scenario) { s.OverloadAdvice, s.Faults = false, s.Faults[:1] })) / seeds
		some += others(with(seed, func(s *Scenario) { s.Faults = s.Faults[:1] })) / seeds
		half += others(with(seed, func(s *Scenario) { s.Faults[1].Part, s.Faults[1].Duration = 0.5, fromSeconds(20) })) / seeds
		lost += others(with(seed, func(s *Scenario) { s.Faults[1].Start, s.Faults[1].Duration = fromSeconds(9), fromSeconds(20) })) / seeds
	}
	t.Logf("the others' share: a quiet day %.4f, no word %.4f, a word %.4f, half of the sidecars cut off from it %.4f, its task lost %.4f", quiet, none, some, half, lost)
	if some < none+0.005 || half < none-0.005 || lost < none-0.005 {
		t.Errorf("no word %.4f, a word %.4f, half cut off %.4f, lost %.4f", none, some, half, lost)
	}
}

// A surge that no sidecar of a large fleet sees whole costs the fleet no more than a small one.
func TestASurgeCostsALargeFleetNoMore(t *testing.T) {
	goodput := func(sidecars int) (share, sends float64) {
		sc := day(t, "surge", sidecars, 30)
		r := play(t, sc, 1, NewBalancer)
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
