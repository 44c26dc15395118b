package policy

import (
	"slices"
	"testing"
	"time"
)

// Guards against this: all balancers lose the list at once, and their calls together
// keep the list service from answering a single one in time.
func TestCallsOfManyBalancersAreSpread(t *testing.T) {
	const many = 80
	cfg := testConfig()
	cfg.PollList, cfg.Balancers = true, many
	calls := make([]int, 20) // in each half second
	for seed := range uint64(many) {
		h := newFakeHost()
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.List(0, ListFailed, nil)
		for now := 10 * ms; now < time.Duration(len(calls))*500*ms; now += 10 * ms {
			before := h.watches
			b.Wake(now)
			for range h.watches - before {
				calls[now/(500*ms)]++
				b.List(now, ListFailed, nil)
			}
		}
	}
	sum := 0
	for i, n := range calls {
		if sum += n; n > many/4 {
			t.Errorf("%d of %d balancers call in half a second, %v after they all lost the list", n, many, time.Duration(i)*500*ms)
		}
	}
	if sum < many {
		t.Errorf("%d calls in 10 s, want each balancer to have tried again", sum)
	}
}

// Guards against this: a watch falls silent or a call fails, its balancer calls again as late as
// the sum of all calls wants it, and sends to a server that drains after the settings' grace.
func TestCallsComeInTimeForWhatDrains(t *testing.T) {
	const (
		told    = 6 * time.Second // from when a watch fell silent, or discovery was back
		noticed = 3 * time.Second // after the watch fell silent
		takes   = time.Second     // a call that is answered, at most
	)
	for _, grace := range []time.Duration{300 * ms, 500 * ms, 1500 * ms, 3 * time.Second} {
		for seed := range uint64(200) {
			cfg := testConfig()
			cfg.PollList, cfg.PollDeadline, cfg.Balancers, cfg.DrainGrace = true, 10*time.Second, 300, grace
			h := newFakeHost()
			b, err := New(cfg, seed, h)
			if err != nil {
				t.Fatal(err)
			}
			b.Start(0)
			now := noticed // the watch was silent from the start
			for call := range 4 {
				b.List(now, ListFailed, nil)
				before, from := h.watches, now-noticed // the call was silent, like the watch
				for ; h.watches == before && now < from+time.Minute; now += 10 * ms {
					b.Wake(now)
				}
				if now-from > told+grace-takes {
					t.Fatalf("grace %v, seed %d: call %d comes %v after what it asks for may have happened", grace, seed, call, now-from)
				}
			}
		}
	}
}

// Few balancers cost the list service little: a call that failed is made again soon, so that
// one more that fails still leaves time.
func TestFewBalancersCallAgainSoon(t *testing.T) {
	cfg := testConfig()
	cfg.PollList, cfg.PollDeadline, cfg.Balancers, cfg.DrainGrace = true, 10*time.Second, 5, 500*ms
	h := newFakeHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	now := time.Duration(0)
	for call := range 20 {
		b.List(now, ListFailed, nil)
		before, from := h.watches, now
		for ; h.watches == before && now < from+time.Minute; now += 10 * ms {
			b.Wake(now)
		}
		if now-from > 1600*ms {
			t.Fatalf("call %d comes %v after one that failed", call, now-from)
		}
	}
}

func TestAsksForTheListAndAgain(t *testing.T) {
	cfg := testConfig()
	cfg.PollList = true
	b, h := start(t, cfg, ready(1))
	if h.watches != 1 {
		t.Fatalf("asked %d times at the start", h.watches)
	}
	gaps, last, asked := []time.Duration{}, time.Duration(0), 1
	b.List(0, ListFailed, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.Wake(now)
		if h.watches > asked {
			asked = h.watches
			gaps = append(gaps, now-last)
			last = now
			b.List(now, ListFailed, nil)
		}
	}
	if len(gaps) < 4 || slices.Max(gaps) >= cfg.PollDeadline || gaps[0] >= gaps[len(gaps)-1] {
		t.Fatalf("gaps between calls %v: want them to grow, and none to reach %v", gaps, cfg.PollDeadline)
	}
	if b.endpoints.find(1) == nil {
		t.Fatal("a failed call dropped the old list")
	}
	b.List(40*time.Second, ListFull, ready(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if h.watches != asked {
		t.Fatal("asks again though it is subscribed")
	}
}

func TestUnansweredCallIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.PollList = true
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < cfg.PollDeadline; now += 50 * ms {
		b.Wake(now)
	}
	if h.watches < 2 {
		t.Fatal("silence of the list service would have counted as being told")
	}
}

// Guards against asking at every Wake, or never again, where it is not known how soon silence counts.
func TestUnansweredCallIsRepeatedNowAndThenWithoutALimit(t *testing.T) {
	cfg := testConfig()
	cfg.PollList, cfg.PollDeadline = true, 0
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.Wake(now)
	}
	if h.watches != 3 {
		t.Fatalf("asked %d times in 10 s, want at the start and every 4 s", h.watches)
	}
}

// Where the list was lost in plain sight each balancer of a large fleet calls soon, as what it missed
// counts as told otherwise; those whose calls are turned away use all of the time that is left.
func TestCallsOfALargeFleetUseTheTimeLeft(t *testing.T) {
	const fleet, due = 300, notificationDeadline + 3*time.Second
	second := make([]int, due/time.Second+1) // calls, by the second in which they come
	for seed := range uint64(fleet) {
		cfg := testConfig()
		cfg.PollList, cfg.Balancers, cfg.DrainGrace = true, fleet, 3*time.Second
		h := newFakeHost()
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.ListLost(0, ListLoss{Reached: true})
		var calls []time.Duration
		for now := 10 * ms; now < due; now += 10 * ms {
			before := h.watches
			if b.Wake(now); h.watches > before {
				calls = append(calls, now)
				b.ListLost(now, ListLoss{Reached: true})
			}
		}
		if len(calls) < 2 || calls[0] > firstPollWithin+20*ms || calls[len(calls)-1] < due-3*time.Second {
			t.Fatalf("seed %d: calls at %v, want the first by %v and the last near %v", seed, calls, firstPollWithin, due)
		}
		second[calls[1]/time.Second]++
	}
	for at, n := range second {
		if n > fleet/4 {
			t.Errorf("%d of %d balancers call again in second %d", n, fleet, at)
		}
	}
}

// Few balancers subscribe at once, many one after the other and all in time.
func TestSubscriptionsOfALargeFleetAreStaggered(t *testing.T) {
	for balancers, want := range map[int]time.Duration{5: 0, 25: 0, 80: 2200 * ms, 300: maxStagger, 900: maxStagger} {
		if got := SubscribeDelay(balancers); got != want {
			t.Errorf("%d balancers: %v, want %v", balancers, got, want)
		}
	}
}
