package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Many balancers, each within its own share of the budget, must together neither overload a server that has
// just started nor leave it unused.
func TestFleetKeepsToTheSlowStartBudget(t *testing.T) {
	const (
		balancers = 80
		servers   = 20
		quota     = 1000.0 // requests per second of all, close to the capacity of the servers
		window    = 2 * time.Second
	)
	cfg := testConfig()
	cfg.Balancers, cfg.MayProbe, cfg.Slots = balancers, true, 200
	cfg.Tenants = []Tenant{{Share: 1, Quota: quota}}
	list := ready()
	for id := range ServerID(servers) {
		list = append(list, Endpoint{ID: id, State: Ready, Weight: 1})
	}
	restart := 10 * time.Second
	received := make([]float64, 40) // work received by the server in each half second since its restart
	for seed := range uint64(balancers) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newFakeHost()
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.List(0, ListFull, list)
		id := RequestID(0)
		// One and a half times the quota, as during congestion: without the budget all of it would be sent to
		// the restarted server.
		for now := time.Duration(0); now < restart+9*time.Second; now += time.Duration(rng.ExpFloat64() * balancers / quota / 1.5 * float64(time.Second)) {
			if now >= restart && b.endpoints.find(1).Started == 0 {
				b.List(now, ListDelta, []Endpoint{{ID: 1, State: Ready, Weight: 1, Started: restart}})
				for _, s := range b.endpoints.servers {
					s.outsideSubset = s.outsideSubset && s.ID == 1
					if s.ID != 1 {
						s.ejection.until = time.Hour // only the restarted server is eligible
					}
				}
			}
			work := 0.5
			if rng.IntN(100) < 3 {
				work = 20 // a few heavy requests make up half of the work
			}
			id++
			b.Request(now, Request{ID: id, Class: nonIdempotentClass, TimeLeft: 3 * time.Second, ExpectedWork: time.Duration(work * float64(50*ms))})
			if n := len(h.sends); n > 0 && h.sends[n-1].id == id {
				if to := h.sends[n-1].to; to == 1 && now >= restart {
					received[(now-restart)/(500*ms)] += work
				}
				end(b, now, id, 0, Served)
			}
		}
	}
	const average = 0.97*0.5 + 0.03*20
	full := quota / servers * average // work per second that the warm server can do
	total := 0.0
	for i := 0; time.Duration(i+4)*500*ms <= cfg.SlowStartWindow; i++ {
		sum := received[i] + received[i+1] + received[i+2] + received[i+3]
		total += received[i]
		from := time.Duration(i) * 500 * ms
		warm := cfg.SlowStartFloor + (1-cfg.SlowStartFloor)*min(1, float64(from)/float64(cfg.SlowStartWindow))
		if budget := cfg.OverloadFactor * warm * full * window.Seconds(); sum > 0.8*budget {
			t.Errorf("from %v: got %.0f of work in %v, want at most 0.8 of the budget of %.0f", from, sum, window, budget)
		}
	}
	if total < 0.5*cfg.SlowStartFloor*full*6.5 {
		t.Errorf("got %.0f of work in 6.5 s, want at least half of the server's capacity of %.0f", total, cfg.SlowStartFloor*full*6.5)
	}
}

func TestWarmingUpServerStaysWithinItsBudget(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		cfg := testConfig()
		cfg.Balancers = balancers
		list := ready(1, 2)
		b, h := start(t, cfg, list)
		list[0].Started = 10 * time.Second // restarted under the same id
		b.List(10*time.Second, ListDelta, list[:1])
		id := RequestID(0)
		sends := map[bool]int{} // key: sent in the first second
		for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
			before := h.sentTo(1)
			submit(b, now, id, idempotentClass)
			end(b, now+ms, id, 0, Served)
			id++
			if h.sentTo(1) > before && now < 11*time.Second {
				sends[true]++
			}
		}
		// Capacity by the quotas: 100 per second over two servers, 0.3 of it at the start, with a budget of
		// 3 times that.
		budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
		if n := float64(sends[true]); n == 0 || n > budget {
			t.Errorf("%d balancers: got %v sends in the first second, want 1 to %.1f", balancers, n, budget)
		}
		if h.sentTo(1) < 500 {
			t.Errorf("%d balancers: got %d sends in total, want at least 500", balancers, h.sentTo(1))
		}
	}
}

// All balancers are notified of a started server at the same time, and hundreds of simultaneous first sends
// would overload it.
func TestFirstSendsToAStartedServerAreSpread(t *testing.T) {
	const balancers = 200
	cfg := testConfig()
	cfg.Balancers = balancers
	sends := 0
	for seed := range uint64(balancers) {
		h := newFakeHost()
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		list := ready(1, 2)
		b.Start(0)
		b.List(0, ListFull, list)
		list[0].Started = 10 * time.Second
		b.List(10*time.Second, ListDelta, list[:1])
		for id := range RequestID(20) {
			now := 10*time.Second + time.Duration(id)*100*ms
			submit(b, now, id, idempotentClass)
			end(b, now+ms, id, 0, Served)
		}
		sends += h.sentTo(1)
	}
	// Two seconds of 50 requests per second, at 0.3 to 0.475 of the capacity, times 3.
	if budget := 2 * 50 * 0.35 * 3; float64(sends) > budget || sends == 0 {
		t.Errorf("got %d sends to the started server in two seconds, want 1 to %.0f", sends, budget)
	}
}

// The wall clock may be set while a process runs, which must not make a cold server look warm.
func TestStartedAtFollowsClockSteps(t *testing.T) {
	const now = 100 * time.Hour
	for name, x := range map[string]struct{ listed, step, want time.Duration }{
		"long ago":                         {0, time.Hour, 0},
		"no step":                          {now - time.Minute, 0, now - time.Minute},
		"ahead of this clock":              {now + time.Minute, 0, now},
		"set ahead, started after it":      {now + time.Hour - time.Second, time.Hour, now - time.Second},
		"set ahead, started before it":     {now - time.Minute, time.Hour, now - time.Minute},
		"set back, started after it":       {now - time.Hour - time.Second, -time.Hour, now - time.Second},
		"set back, started a while before": {now - 2*time.Hour, -time.Hour, now - time.Hour},
	} {
		if got := StartedAt(x.listed, now, x.step); got != x.want {
			t.Errorf("%s: got a start %v before now, want %v", name, now-got, now-x.want)
		}
	}
}

// Without quotas, the total rate of all balancers to a server that is warming up must not grow with their
// number.
func TestSlowStartBudgetIsSharedWithoutQuotas(t *testing.T) {
	sum := func(balancers int) float64 {
		cfg := withoutQuotas(balancers)
		cfg.SlowStartWindow = time.Hour // its warm-up progress is negligible
		b, _ := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8))
		b.List(time.Second, ListDelta, []Endpoint{{ID: 1, State: Ready, Weight: 1, Started: time.Second}})
		b.traffic.low = false // all balancers use the server
		return float64(balancers) / b.slowStartInterval(time.Second, b.endpoints.find(1)).Seconds()
	}
	few, many := sum(8), sum(80) // of 8 servers
	if many > few*1.3 || few <= 0 {
		t.Errorf("got %.1f requests per second of 80 balancers to a server that is warming up, %.1f of 8, want about the same", many, few)
	}
	if alone := sum(1); alone > few {
		t.Errorf("got %.1f requests per second of one balancer to a server that is warming up, %.1f of 8, want no more", alone, few)
	}
}
