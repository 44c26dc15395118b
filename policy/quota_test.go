package policy

import (
	"testing"
	"time"
)

// withoutQuotas is a deployment that names no tenants: nobody says how much traffic there is.
func withoutQuotas(balancers int) Config {
	cfg := testConfig()
	cfg.Tenants, cfg.Slots, cfg.MayProbe, cfg.LoadReports, cfg.Balancers = nil, 0, true, true, balancers
	return cfg
}

// Guards against this: where no quota is known traffic passes for none at all, and a handful
// of balancers rest servers, spare most of them and shed as hundreds have to.
func TestUnknownTrafficIsNotThin(t *testing.T) {
	list := ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
	for balancers, thin := range map[int]bool{1: false, 6: false, 300: true} {
		b, _ := start(t, withoutQuotas(balancers), list)
		if b.traffic.low != thin {
			t.Errorf("%d balancers without quotas: thin %v, want %v", balancers, b.traffic.low, thin)
		}
	}
	b, h := start(t, withoutQuotas(6), list)
	for id := range RequestID(400) { // answers that take much of the aim
		now := time.Duration(id) * 50 * ms
		ask(b, now, id, nonIdempotentClass)
		if n := len(h.sends); n == 0 || h.sends[n-1].id != id {
			t.Fatalf("request %d was not sent though nothing else is under way", id)
		}
		end(b, now+40*ms, id, 0, Served)
	}
	used := map[ServerID]bool{}
	for _, s := range h.sends {
		used[s.to] = true
	}
	if len(used) != len(list) {
		t.Errorf("%d servers of %d were used", len(used), len(list))
	}
}

// Guards against this: without quotas each balancer keeps to a pace of its own towards a cold
// server, and the sum of all grows with their number.
func TestColdServersBudgetIsTheFleetsWithoutQuotas(t *testing.T) {
	sum := func(balancers int) float64 {
		cfg := withoutQuotas(balancers)
		cfg.SlowStartWindow = time.Hour // it does not warm meanwhile
		b, _ := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8))
		b.List(time.Second, ListDelta, []Endpoint{{ID: 1, State: Ready, Weight: 1, Started: time.Second}})
		b.traffic.low = false // all of them use it
		return float64(balancers) / b.slowStartInterval(time.Second, b.endpoints.find(1)).Seconds()
	}
	few, many := sum(8), sum(80) // of 8 servers
	if many > few*1.3 || few <= 0 {
		t.Errorf("80 balancers send %.1f a second to a cold server, 8 send %.1f", many, few)
	}
	if alone := sum(1); alone > few {
		t.Errorf("one balancer alone sends %.1f a second to a cold server, 8 send %.1f", alone, few)
	}
}
