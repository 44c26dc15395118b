package policy

import (
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
