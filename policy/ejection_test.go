package policy

import (
	"testing"
	"time"
)

// lowTrafficConfig is a configuration with many balancers and little traffic of each to a server.
func lowTrafficConfig() Config {
	cfg := testConfig()
	cfg.Balancers, cfg.MayProbe, cfg.Slots = 1000, true, 8
	return cfg
}

// slowTook is long enough to show a queue if the objective is a second.
const slowTook = 320 * ms

// Otherwise every balancer would keep sending to a server with a queue, as none of them has more
// than one request there.
func TestServerWithQueueIsEjected(t *testing.T) {
	b, h := start(t, lowTrafficConfig(), ready(1, 2))
	ejectionTime := func(now time.Duration, id RequestID) time.Duration {
		for ; ; id++ { // until server 1 is chosen
			submit(b, now, id, idempotentClass)
			if h.sends[len(h.sends)-1].to == 1 {
				end(b, now+slowTook, id, 0, Served)
				return b.endpoints.find(1).ejection.until - now - slowTook
			}
			end(b, now+ms, id, 0, Served)
		}
	}
	pause := ejectionTime(0, 0)
	if pause < ejectionLatencyFactor*slowTook/2 || pause > ejectionLatencyFactor*slowTook*3/2 {
		t.Fatalf("ejected for %v, want about %v", pause, ejectionLatencyFactor*slowTook)
	}
	before := h.sentTo(1)
	for id := RequestID(100); id < 110; id++ {
		submit(b, slowTook+ms, id, idempotentClass)
		end(b, slowTook+2*ms, id, 0, Served)
	}
	if h.sentTo(1) != before {
		t.Fatal("an ejected server was chosen although another is healthy")
	}
	if more := ejectionTime(5*time.Second, 200); more < initialEjection || b.endpoints.find(1).ejection.consecutiveSlow != 2 {
		t.Fatalf("ejected for %v after a second slow answer, %v after the first, want longer", more, pause)
	}
	for id := RequestID(300); id < 310; id++ { // quick ones
		submit(b, 10*time.Second, id, idempotentClass)
		end(b, 10*time.Second+ms, id, 0, Served)
	}
	if b.endpoints.find(1).ejection.consecutiveSlow != 0 {
		t.Fatal("quick answers do not reset the count of slow ones")
	}
}

// Neither a failure without a queue nor a heavy request is evidence of a queue.
func TestOnlyQueuesCauseEjection(t *testing.T) {
	for name, tt := range map[string]struct {
		took    time.Duration
		work    time.Duration
		end     Ending
		ejected bool
	}{
		"quick":     {100 * ms, 0, Served, false},
		"slow":      {slowTook, 0, Served, true},
		"heavy":     {slowTook, 200 * ms, Served, false},
		"timed out": {slowTook, 0, TimedOut, true},
		"rejected":  {ms, 0, Rejected, true},
		"error":     {slowTook, 0, Errored, false},
		"broken":    {slowTook, 0, Broken, false},
		"cancelled": {slowTook, 0, Cancelled, false},
	} {
		b, _ := start(t, lowTrafficConfig(), ready(1))
		b.Request(0, Request{ID: 1, Class: nonIdempotentClass, TimeLeft: 3 * time.Second, ExpectedWork: tt.work})
		end(b, tt.took, 1, 0, tt.end)
		if got := b.ejected(tt.took, b.endpoints.find(1)); got != tt.ejected {
			t.Errorf("%s: got ejected %v, want %v", name, got, tt.ejected)
		}
	}
}

// With all servers congested, sending on would make every answer late, and requests would be queued
// that no server can serve in time.
func TestNothingIsSentWhileAllAreEjected(t *testing.T) {
	b, h := start(t, lowTrafficConfig(), ready(1, 2))
	for id := range RequestID(2) {
		submit(b, 0, id, nonIdempotentClass)
	}
	for id := range RequestID(2) {
		end(b, slowTook, id, 0, Served)
	}
	if len(h.sends) != 2 || b.ejectedShare(slowTook, false) != 1 {
		t.Fatalf("setup: sends %v, ejected share %v", h.sends, b.ejectedShare(slowTook, false))
	}
	for id := RequestID(10); id < 40; id++ {
		submit(b, slowTook, id, nonIdempotentClass)
	}
	if len(h.sends) != 2 || len(h.refused) < 20 {
		t.Fatalf("got %d sends and %d of 30 refused at once, want none and at least 20", len(h.sends)-2, len(h.refused))
	}
	for now := slowTook; now < 4*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	before := len(h.sends) // a queued one may have been sent when the first ejection ended
	if submit(b, 4*time.Second, 50, nonIdempotentClass); len(h.sends) != before+1 {
		t.Fatal("nothing is sent after the ejection")
	}
}

// Otherwise a zone's own balancers would overload it while servers of the other zone are idle.
func TestEjectionsSpillToTheOtherZone(t *testing.T) {
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
		t.Errorf("got %d of 100 in the other zone while all near servers are healthy, want none", n)
	}
	some := crossings(2)
	if some == 0 || some > 50 {
		t.Errorf("got %d of 100 in the other zone while some near servers are ejected, want 1 to 50", some)
	}
	if n := crossings(40); n != 100 {
		t.Errorf("got %d of 100 in the other zone while all near servers are ejected, want all", n)
	}
}
