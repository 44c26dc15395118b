package policy

import (
	"testing"
	"time"
)

// lowTrafficConfig returns a configuration with many balancers, each with little traffic per server.
func lowTrafficConfig() Config {
	cfg := testConfig()
	cfg.Balancers, cfg.MayProbe, cfg.Slots = 1000, true, 8
	return cfg
}

// slowLatency indicates a queue if the objective is a second.
const slowLatency = 320 * ms

// Without ejection every balancer would keep sending to a server with a queue, since none of them has more
// than one request in flight there.
func TestServerWithQueueIsEjected(t *testing.T) {
	b, h := start(t, lowTrafficConfig(), ready(1, 2))
	ejectionTime := func(now time.Duration, id RequestID) time.Duration {
		for ; ; id++ { // until server 1 is selected
			submit(b, now, id, idempotentClass)
			if h.sends[len(h.sends)-1].to == 1 {
				end(b, now+slowLatency, id, 0, Served)
				return b.endpoints.find(1).ejection.until - now - slowLatency
			}
			end(b, now+ms, id, 0, Served)
		}
	}
	pause := ejectionTime(0, 0)
	if pause < ejectionLatencyFactor*slowLatency/2 || pause > ejectionLatencyFactor*slowLatency*3/2 {
		t.Fatalf("got an ejection of %v, want about %v", pause, ejectionLatencyFactor*slowLatency)
	}
	before := h.sentTo(1)
	for id := RequestID(100); id < 110; id++ {
		submit(b, slowLatency+ms, id, idempotentClass)
		end(b, slowLatency+2*ms, id, 0, Served)
	}
	if h.sentTo(1) != before {
		t.Fatal("an ejected server was selected although another one is healthy")
	}
	if more := ejectionTime(5*time.Second, 200); more < initialEjection || b.endpoints.find(1).ejection.consecutiveSlow != 2 {
		t.Fatalf("got an ejection of %v after the second slow response and of %v after the first, want a longer one after the second", more, pause)
	}
	for id := RequestID(300); id < 310; id++ { // fast responses
		submit(b, 10*time.Second, id, idempotentClass)
		end(b, 10*time.Second+ms, id, 0, Served)
	}
	if b.endpoints.find(1).ejection.consecutiveSlow != 0 {
		t.Fatal("the count of slow responses was not reset by fast ones")
	}
}

// Only results that indicate a long queue at the server cause its ejection: not errors or cancelled attempts,
// and not responses that are slow because of the request's expected work.
func TestOnlyQueuesCauseEjection(t *testing.T) {
	for name, tt := range map[string]struct {
		elapsed time.Duration
		work    time.Duration
		end     Ending
		ejected bool
	}{
		"quick":     {100 * ms, 0, Served, false},
		"slow":      {slowLatency, 0, Served, true},
		"heavy":     {slowLatency, 200 * ms, Served, false},
		"timed out": {slowLatency, 0, TimedOut, true},
		"rejected":  {ms, 0, Rejected, true},
		"error":     {slowLatency, 0, Errored, false},
		"broken":    {slowLatency, 0, Broken, false},
		"cancelled": {slowLatency, 0, Cancelled, false},
	} {
		b, _ := start(t, lowTrafficConfig(), ready(1))
		b.Request(0, Request{ID: 1, Class: nonIdempotentClass, TimeLeft: 3 * time.Second, ExpectedWork: tt.work})
		end(b, tt.elapsed, 1, 0, tt.end)
		if got := b.ejected(tt.elapsed, b.endpoints.find(1)); got != tt.ejected {
			t.Errorf("%s: got ejected %v, want %v", name, got, tt.ejected)
		}
	}
}

// If a balancer kept sending while all servers are congested, every response would be late, and requests
// would be queued that no server can serve before their deadline.
func TestNothingIsSentWhileAllAreEjected(t *testing.T) {
	b, h := start(t, lowTrafficConfig(), ready(1, 2))
	for id := range RequestID(2) {
		submit(b, 0, id, nonIdempotentClass)
	}
	for id := range RequestID(2) {
		end(b, slowLatency, id, 0, Served)
	}
	if len(h.sends) != 2 || b.ejectedShare(slowLatency, false) != 1 {
		t.Fatalf("setup: got sends %v and ejected share %v, want 2 sends and 1", h.sends, b.ejectedShare(slowLatency, false))
	}
	for id := RequestID(10); id < 40; id++ {
		submit(b, slowLatency, id, nonIdempotentClass)
	}
	if len(h.sends) != 2 || len(h.refused) < 20 {
		t.Fatalf("got %d sends and %d of 30 refused immediately, want none and at least 20", len(h.sends)-2, len(h.refused))
	}
	for now := slowLatency; now < 4*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	before := len(h.sends) // a queued request may have been sent when the first ejection ended
	if submit(b, 4*time.Second, 50, nonIdempotentClass); len(h.sends) != before+1 {
		t.Fatal("the request was not sent after the ejections ended")
	}
}

// Without spillover the balancers of a congested zone would overload it while servers of the other zone are
// idle.
func TestEjectionsSpillOverToTheOtherZone(t *testing.T) {
	cfg := lowTrafficConfig()
	cfg.CrossZoneCost = 0.02
	var list []Endpoint
	for id := range ServerID(40) {
		list = append(list, Endpoint{ID: id, Zone: int(id % 2), Cell: int(id / 8), State: Ready, Weight: 1})
	}
	crossings := func(ejected int) int {
		b, h := start(t, cfg, list)
		for _, s := range b.endpoints.servers {
			if s.Zone == 0 && !s.outsideSubset && ejected > 0 {
				s.ejection.until = time.Hour
				ejected--
			}
		}
		for id := range RequestID(100) {
			submit(b, 0, id, idempotentClass)
			end(b, 0, id, 0, Served)
		}
		n := 0
		for _, s := range h.sends {
			n += int(s.to % 2)
		}
		return n
	}
	if n := crossings(0); n != 0 {
		t.Errorf("got %d of 100 in the other zone while all servers of the local zone are healthy, want none", n)
	}
	some := crossings(2)
	if some == 0 || some > 50 {
		t.Errorf("got %d of 100 in the other zone while some servers of the local zone are ejected, want 1 to 50", some)
	}
	if n := crossings(40); n != 100 {
		t.Errorf("got %d of 100 in the other zone while all servers of the local zone are ejected, want all", n)
	}
}
