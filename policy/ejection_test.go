package policy

import (
	"testing"
	"time"
)

// lowTrafficConfig is that of one of many balancers, with little traffic to each server.
func lowTrafficConfig() Config {
	cfg := testConfig()
	cfg.Balancers, cfg.MayProbe, cfg.Slots = 1000, true, 8
	return cfg
}

// slowTook is long enough to show a queue where the aim is a second.
const slowTook = 320 * ms

// Guards against this: every balancer goes on sending in turn to a server with a
// queue, as none of them has more than one request there.
func TestServerBehindAQueueRests(t *testing.T) {
	b, h := start(t, lowTrafficConfig(), ready(1, 2))
	rest := func(now time.Duration, id RequestID) time.Duration {
		for ; ; id++ { // until it is its turn
			ask(b, now, id, idempotentClass)
			if h.sends[len(h.sends)-1].to == 1 {
				end(b, now+slowTook, id, 0, Served)
				return b.endpoints.find(1).ejection.until - now - slowTook
			}
			end(b, now+ms, id, 0, Served)
		}
	}
	pause := rest(0, 0)
	if pause < ejectionLatencyFactor*slowTook/2 || pause > ejectionLatencyFactor*slowTook*3/2 {
		t.Fatalf("a rest of %v, want about %v", pause, ejectionLatencyFactor*slowTook)
	}
	before := h.sentTo(1)
	for id := RequestID(100); id < 110; id++ {
		ask(b, slowTook+ms, id, idempotentClass)
		end(b, slowTook+2*ms, id, 0, Served)
	}
	if h.sentTo(1) != before {
		t.Fatal("a server at rest got a turn though another is well")
	}
	if more := rest(5*time.Second, 200); more < initialEjection || b.endpoints.find(1).ejection.consecutiveSlow != 2 {
		t.Fatalf("a second slow answer brings a rest of %v after %v, want a longer one", more, pause)
	}
	for id := RequestID(300); id < 310; id++ { // quick ones
		ask(b, 10*time.Second, id, idempotentClass)
		end(b, 10*time.Second+ms, id, 0, Served)
	}
	if b.endpoints.find(1).ejection.consecutiveSlow != 0 {
		t.Fatal("quick answers do not end what was held against the server")
	}
}

// Guards against this: what fails without a queue, or is heavy itself, passes for a jam.
func TestOnlyQueuesBringARest(t *testing.T) {
	for name, tt := range map[string]struct {
		took time.Duration
		work time.Duration
		end  Ending
		rest bool
	}{
		"quick":       {100 * ms, 0, Served, false},
		"slow":        {slowTook, 0, Served, true},
		"heavy":       {slowTook, 200 * ms, Served, false},
		"timed out":   {slowTook, 0, TimedOut, true},
		"turned away": {ms, 0, Rejected, true},
		"error":       {slowTook, 0, Errored, false},
		"broken":      {slowTook, 0, Broken, false},
		"cancelled":   {slowTook, 0, Cancelled, false},
	} {
		b, _ := start(t, lowTrafficConfig(), ready(1))
		b.Request(0, Request{ID: 1, Class: nonIdempotentClass, TimeLeft: 3 * time.Second, ExpectedWork: tt.work})
		end(b, tt.took, 1, 0, tt.end)
		if got := b.ejected(tt.took, b.endpoints.find(1)); got != tt.rest {
			t.Errorf("%s: at rest %v, want %v", name, got, tt.rest)
		}
	}
}

// Guards against this: with all servers jammed each balancer goes on sending, and
// all is answered late, or requests are held that nobody can serve in time.
func TestNothingIsSentWhileAllRest(t *testing.T) {
	b, h := start(t, lowTrafficConfig(), ready(1, 2))
	for id := range RequestID(2) {
		ask(b, 0, id, nonIdempotentClass)
	}
	for id := range RequestID(2) {
		end(b, slowTook, id, 0, Served)
	}
	if len(h.sends) != 2 || b.ejectedShare(slowTook, false) != 1 {
		t.Fatalf("set-up: sends %v, %v at rest", h.sends, b.ejectedShare(slowTook, false))
	}
	for id := RequestID(10); id < 40; id++ {
		ask(b, slowTook, id, nonIdempotentClass)
	}
	if len(h.sends) != 2 || len(h.refused) < 20 {
		t.Fatalf("%d sends, %d refused at once of 30", len(h.sends)-2, len(h.refused))
	}
	for now := slowTook; now < 4*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	before := len(h.sends) // one that waited may have gone as the first rest ended
	if ask(b, 4*time.Second, 50, nonIdempotentClass); len(h.sends) != before+1 {
		t.Fatal("nothing is sent after the rest")
	}
}

// Guards against this: a zone's own balancers jam it while the other zone's servers idle.
func TestRestsSpillToTheOtherZone(t *testing.T) {
	cfg := lowTrafficConfig()
	cfg.CrossZoneCost = 0.02
	var list []Endpoint
	for id := range ServerID(40) {
		list = append(list, Endpoint{ID: id, Zone: int(id % 2), Cell: int(id / 8), State: Ready, Weight: 1})
	}
	far := func(resting int) int {
		b, h := start(t, cfg, list)
		for _, s := range b.endpoints.servers {
			if s.Zone == 0 && !s.outsideSubset && resting > 0 {
				s.ejection.until = time.Hour
				resting--
			}
		}
		for id := range RequestID(100) {
			ask(b, 0, id, idempotentClass)
			end(b, 0, id, 0, Served)
		}
		n := 0
		for _, s := range h.sends {
			n += int(s.to % 2)
		}
		return n
	}
	if n := far(0); n != 0 {
		t.Errorf("%d of 100 cross zones though all near servers are well", n)
	}
	some := far(2)
	if some == 0 || some > 50 {
		t.Errorf("%d of 100 cross zones while some near servers rest", some)
	}
	if n := far(40); n != 100 {
		t.Errorf("%d of 100 cross zones while all near servers rest", n)
	}
}
