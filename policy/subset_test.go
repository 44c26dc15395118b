package policy

import (
	"testing"
	"time"
)

// Without subsetting, a thousand balancers would each keep a connection to every server, which fills the
// servers' connection tables, and would have to open a new connection for most requests.
func TestLowTrafficUsesASubsetOfEachCell(t *testing.T) {
	serversUsed := func(cfg Config, cost float64) int {
		cfg.CrossZoneCost = cost
		var list []Endpoint
		for id := range ServerID(20) {
			list = append(list, Endpoint{ID: id, Cell: int(id / 5), State: Ready, Weight: 1})
		}
		b, h := start(t, cfg, list)
		cells := map[int]bool{}
		for _, s := range b.endpoints.servers {
			if !b.outsideSubset(s) {
				cells[s.Cell] = true
			}
		}
		if len(cells) != 4 {
			t.Errorf("got servers of %d cells in the subset, want servers of all 4", len(cells))
		}
		used := map[ServerID]bool{}
		for id := range RequestID(100) {
			now := time.Duration(id) * 100 * ms
			submit(b, now, id, idempotentClass)
			end(b, now+20*ms, id, 0, Served)
			used[h.sends[len(h.sends)-1].to] = true
		}
		return len(used)
	}
	for _, cost := range []float64{0.02, 0} { // cost of crossing zones
		if n := serversUsed(lowTrafficConfig(), cost); n < 4 || n > 10 {
			t.Errorf("cost %v: got %d of 20 servers used with low traffic, want 4 to 10", cost, n)
		}
	}
	highTraffic := testConfig()
	highTraffic.Balancers = 1
	highTraffic.Tenants[0].Quota, highTraffic.Tenants[1].Quota = 750, 250
	if n := serversUsed(highTraffic, 0.02); n != 20 {
		t.Errorf("got %d of 20 servers used with high traffic, want all", n)
	}
}
