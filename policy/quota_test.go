package policy

import (
	"testing"
	"time"
)

// withoutQuotas is a deployment that names no tenants: nobody says how much traffic there is.
func withoutQuotas(balancers int) Config {
	cfg := testConfig()
	cfg.Tenants, cfg.Slots, cfg.MayProbe, cfg.Reports, cfg.Balancers = nil, 0, true, true, balancers
	return cfg
}

// Guards against this: where no quota is known traffic passes for none at all, and a handful
// of balancers rest servers, spare most of them and shed as hundreds have to.
func TestUnknownTrafficIsNotThin(t *testing.T) {
	list := ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
	for balancers, thin := range map[int]bool{1: false, 6: false, 300: true} {
		b, _ := start(t, withoutQuotas(balancers), list)
		if b.thin != thin {
			t.Errorf("%d balancers without quotas: thin %v, want %v", balancers, b.thin, thin)
		}
	}
	b, h := start(t, withoutQuotas(6), list)
	for id := range RequestID(400) { // answers that take much of the aim
		now := time.Duration(id) * 50 * ms
		ask(b, now, id, unsafeClass)
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

// Guards against this: a class whose answers always take a third of the aim, and whose requests
// bring no hint of their work, passes for one that waits behind queues everywhere.
func TestWhatAClassAlwaysTakesIsNoQueue(t *testing.T) {
	const usual = 350 * ms // the aim is a second
	b, _ := start(t, withoutQuotas(300), ready(1, 2, 3, 4))
	now, id := time.Duration(0), RequestID(0)
	one := func(took time.Duration) *server {
		for { // one that is not shed
			now, id = now+time.Second, id+1
			ask(b, now, id, unsafeClass)
			if r := b.requests[id]; r != nil && len(r.attempts) == 1 {
				s := r.attempts[0].to
				end(b, now+took, id, 0, Served)
				return s
			}
		}
	}
	for range 300 {
		one(usual)
	}
	if s := one(usual); b.resting(now+usual, s) || b.jam(now) > jamFrom {
		t.Errorf("after 300 answers of %v the next one sends its server to rest, jam %.2f", usual, b.jam(now))
	}
	if s := one(3*usual + 200*ms); !b.resting(now+3*usual+200*ms, s) {
		t.Error("an answer of several times the usual is no queue any more")
	}
}

// Guards against this: without quotas each balancer keeps to a pace of its own towards a cold
// server, and the sum of all grows with their number.
func TestColdServersBudgetIsTheFleetsWithoutQuotas(t *testing.T) {
	sum := func(balancers int) float64 {
		cfg := withoutQuotas(balancers)
		cfg.ColdTime = time.Hour // it does not warm meanwhile
		b, _ := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8))
		b.List(time.Second, ListDelta, []Server{{ID: 1, State: Ready, Weight: 1, Started: time.Second}})
		b.thin = false // all of them use it
		return float64(balancers) / b.coldGap(time.Second, b.server(1)).Seconds()
	}
	few, many := sum(3), sum(30)
	if many > few*1.3 || few <= 0 {
		t.Errorf("30 balancers send %.1f a second to a cold server, 3 send %.1f", many, few)
	}
}
