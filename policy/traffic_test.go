package policy

import (
	"testing"
	"time"
)

// withoutQuotas returns a configuration without tenants, for which the traffic is unknown.
func withoutQuotas(balancers int) Config {
	cfg := testConfig()
	cfg.Tenants, cfg.Slots, cfg.MayProbe, cfg.LoadReports, cfg.Balancers = nil, 0, true, true, balancers
	return cfg
}

// Without quotas, a small fleet must not use the ejection, subsetting and shedding that only large fleets
// need.
func TestUnknownTrafficIsNotLow(t *testing.T) {
	list := ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
	for balancers, low := range map[int]bool{1: false, 6: false, 300: true} {
		b, _ := start(t, withoutQuotas(balancers), list)
		if b.traffic.low != low {
			t.Errorf("%d balancers without quotas: got low traffic %v, want %v", balancers, b.traffic.low, low)
		}
	}
	b, h := start(t, withoutQuotas(6), list)
	for id := range RequestID(400) { // responses that take much of the objective
		now := time.Duration(id) * 50 * ms
		submit(b, now, id, nonIdempotentClass)
		if n := len(h.sends); n == 0 || h.sends[n-1].id != id {
			t.Fatalf("request %d was not sent although no other request is in flight", id)
		}
		end(b, now+40*ms, id, 0, Served)
	}
	used := map[ServerID]bool{}
	for _, s := range h.sends {
		used[s.to] = true
	}
	if len(used) != len(list) {
		t.Errorf("got %d of %d servers used, want all", len(used), len(list))
	}
}
