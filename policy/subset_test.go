package policy

import (
	"testing"
	"time"
)

// Guards against this: a thousand balancers keep a connection to every server each, which
// fills the servers' tables, and open most of them anew for each request.
func TestThinTrafficKeepsToFewOfEachCell(t *testing.T) {
	reached := func(cfg Config, price float64) int {
		cfg.CrossZoneCost = price
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
			t.Errorf("servers of %d cells are kept to, want one of each of the 4", len(cells))
		}
		to := map[ServerID]bool{}
		for id := range RequestID(100) {
			now := time.Duration(id) * 100 * ms
			ask(b, now, id, idempotentClass)
			end(b, now+20*ms, id, 0, Served)
			to[h.sends[len(h.sends)-1].to] = true
		}
		return len(to)
	}
	for _, price := range []float64{0.02, 0} { // of crossing zones: there may be one zone, or it may be free
		if n := reached(lowTrafficConfig(), price); n < 4 || n > 10 {
			t.Errorf("price %v: %d of 20 servers used where traffic is thin, want one of each cell and half at most", price, n)
		}
	}
	full := testConfig()
	full.Balancers = 1
	full.Tenants[0].Quota, full.Tenants[1].Quota = 750, 250
	if n := reached(full, 0.02); n != 20 {
		t.Errorf("%d of 20 servers used where traffic is not thin", n)
	}
}
