package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against this: many balancers, each well within its own part, push a server
// over that has just started, or none of them dares to use it.
func TestFleetKeepsToAColdServersBudget(t *testing.T) {
	const (
		balancers = 80
		servers   = 20
		quota     = 1000.0 // requests a second of all, close to what the servers can do
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
	work := make([]float64, 40) // to the server, in half seconds from its restart on
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
		// Half as much again as the quota, as in a jam: all of it would go to the one
		// server if the turns were not.
		for now := time.Duration(0); now < restart+9*time.Second; now += time.Duration(rng.ExpFloat64() * balancers / quota / 1.5 * float64(time.Second)) {
			if now >= restart && b.endpoints.find(1).Started == 0 {
				b.List(now, ListDelta, []Endpoint{{ID: 1, State: Ready, Weight: 1, Started: restart}})
				for _, s := range b.endpoints.servers {
					s.outsideSubset = s.outsideSubset && s.ID == 1
					if s.ID != 1 {
						s.ejection.until = time.Hour // the others are jammed: the cold one is wanted by all
					}
				}
			}
			cost := 0.5
			if rng.IntN(100) < 3 {
				cost = 20 // the heavy few bring half of the work
			}
			id++
			b.Request(now, Request{ID: id, Class: nonIdempotentClass, TimeLeft: 3 * time.Second, ExpectedWork: time.Duration(cost * float64(50*ms))})
			if n := len(h.sends); n > 0 && h.sends[n-1].id == id {
				if to := h.sends[n-1].to; to == 1 && now >= restart {
					work[(now-restart)/(500*ms)] += cost
				}
				end(b, now, id, 0, Served)
			}
		}
	}
	const average = 0.97*0.5 + 0.03*20
	full := quota / servers * average // what the server can do a second once it is warm
	total := 0.0
	for i := 0; time.Duration(i+4)*500*ms <= cfg.SlowStartWindow; i++ {
		sum := work[i] + work[i+1] + work[i+2] + work[i+3]
		total += work[i]
		from := time.Duration(i) * 500 * ms
		warm := cfg.SlowStartFloor + (1-cfg.SlowStartFloor)*min(1, float64(from)/float64(cfg.SlowStartWindow))
		if budget := cfg.OverloadFactor * warm * full * window.Seconds(); sum > 0.8*budget {
			t.Errorf("from %v on: %.0f of work in %v, the budget is %.0f", from, sum, window, budget)
		}
	}
	if total < 0.5*cfg.SlowStartFloor*full*6.5 {
		t.Errorf("%.0f of work in 6.5 s, though the cold server could do %.0f", total, cfg.SlowStartFloor*full*6.5)
	}
}

func TestColdServerIsSpared(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		cfg := testConfig()
		cfg.Balancers = balancers
		list := ready(1, 2)
		b, h := start(t, cfg, list)
		list[0].Started = 10 * time.Second // restarted under the same id
		b.List(10*time.Second, ListDelta, list[:1])
		id := RequestID(0)
		sends := map[bool]int{} // by whether in the first window
		for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
			before := h.sentTo(1)
			ask(b, now, id, idempotentClass)
			end(b, now+ms, id, 0, Served)
			id++
			if h.sentTo(1) > before && now < 11*time.Second {
				sends[true]++
			}
		}
		// Capacity by the quotas: 100 a second over two servers; cold at 0.3, budget 3 times that.
		budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
		if n := float64(sends[true]); n == 0 || n > budget {
			t.Errorf("%d balancers: %v sends in the first second, budget of each %.1f", balancers, n, budget)
		}
		if h.sentTo(1) < 500 {
			t.Errorf("%d balancers: only %d sends once it had warmed up", balancers, h.sentTo(1))
		}
	}
}

// Guards against this: all balancers are told of a fresh server in the same moment, each is allowed one
// send at once, and a few hundred first sends together push it over.
func TestFirstSendsToAFreshServerAreSpread(t *testing.T) {
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
			ask(b, now, id, idempotentClass)
			end(b, now+ms, id, 0, Served)
		}
		sends += h.sentTo(1)
	}
	// Two seconds of 50 requests a second, cold at 0.3 and on the way to 0.475, times 3.
	if budget := 2 * 50 * 0.35 * 3; float64(sends) > budget || sends == 0 {
		t.Errorf("%d sends to the fresh server in two seconds, the budget is %.0f", sends, budget)
	}
}

// The wall clock may be set by an hour while a process runs.
func TestStartIsReadOnTheClockThatItWasWrittenBy(t *testing.T) {
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
			t.Errorf("%s: %v before now, want %v", name, now-got, now-x.want)
		}
	}
}
