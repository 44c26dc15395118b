package policy

import (
	"testing"
	"time"
)

// twoZones lists n servers in each of two zones: even ids in zone 0, odd ones in zone 1.
func twoZones(n int) []Endpoint {
	var list []Endpoint
	for id := range ServerID(2 * n) {
		list = append(list, Endpoint{ID: id, Zone: int(id % 2), State: Ready, Weight: 1})
	}
	return list
}

// probingConfig is a configuration with probes and a cost for crossing zones.
func probingConfig() Config {
	cfg := testConfig()
	cfg.MayProbe, cfg.CrossZoneCost, cfg.Slots = true, 0.02, 100
	return cfg
}

// Without probes each balancer would repeatedly detect an unresponsive server by failing its own requests.
func TestUnresponsiveServerGetsProbesAndNoRequests(t *testing.T) {
	b, h := start(t, probingConfig(), ready(1, 2))
	submit(b, 0, 1, idempotentClass)
	unresponsive := h.sends[0].to
	end(b, 250*ms, 1, 0, NoConnection)
	before := h.sentTo(unresponsive)
	now := 250 * ms
	for id := RequestID(2); id < 500; id++ {
		now += 20 * ms
		b.Wake(now)
		submit(b, now, id, idempotentClass)
		end(b, now, id, 0, Served)
		if n := len(h.probes); n > 0 && h.probes[n-1] == unresponsive {
			h.probes = h.probes[:n-1]
			h.probes = append(h.probes, 0) // seen
			b.Probed(now, unresponsive, false, UnknownLoad)
		}
	}
	if n := h.sentTo(unresponsive); n != before {
		t.Fatalf("got %d requests at an unresponsive server, want none", n-before)
	}
	if n := len(h.probes); n < 3 || n > 20 {
		t.Fatalf("got %d probes in 10 s, want 3 to 20", n)
	}
	b.Probed(now, unresponsive, true, UnknownLoad)
	for id := RequestID(500); id < 504; id++ {
		submit(b, now, id, idempotentClass)
		end(b, now, id, 0, Served)
	}
	if h.sentTo(unresponsive) == before {
		t.Fatal("a server that responds to probes again got no requests")
	}
}

// If a partitioned zone were not suspected as a whole, each of its servers would cost each balancer a
// request and a slot until the timeout.
func TestZoneWithoutAnswersIsSuspected(t *testing.T) {
	b, h := start(t, probingConfig(), twoZones(8))
	for id := range RequestID(suspicionAttempts) {
		submit(b, 0, id, idempotentClass)
	}
	wait := time.Duration(suspicionObjectiveShare * float64(time.Second))
	b.Wake(wait - 10*ms)
	submit(b, wait-10*ms, 10, idempotentClass)
	if h.sends[suspicionAttempts].to%2 != 0 {
		t.Fatal("the local zone is suspected too early")
	}
	b.Wake(wait)
	if len(h.probes) != 1 || h.probes[0]%2 != 0 {
		t.Fatalf("got probes of servers %v, want one, of a server in the suspected zone (even number)", h.probes)
	}
	for id := RequestID(20); id < 40; id++ {
		submit(b, wait, id, idempotentClass)
		end(b, wait, id, 0, Served)
		if to := h.sends[len(h.sends)-1].to; to%2 != 1 {
			t.Fatalf("got a request at server %d of a suspected zone, want none", to)
		}
	}
	for now := wait; now < wait+2*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if n := len(h.probes); n < 3 || n > 10 {
		t.Fatalf("got %d probes in 2 s, want one about every %v", n, suspicionProbeInterval)
	}
	now := wait + 2*time.Second
	b.Probed(now, h.probes[0], true, UnknownLoad)
	submit(b, now, 50, idempotentClass)
	if to := h.sends[len(h.sends)-1].to; to%2 != 0 {
		t.Fatal("the zone got no request although it responded again")
	}
}

// A few slow servers must not make their zone suspected.
func TestZoneWithAnAnswerIsNotSuspected(t *testing.T) {
	b, h := start(t, probingConfig(), twoZones(8))
	for id := range RequestID(suspicionAttempts + 1) {
		submit(b, 0, id, idempotentClass)
	}
	end(b, 200*ms, 0, 0, Served)
	b.Wake(time.Second)
	submit(b, time.Second, 10, idempotentClass)
	if h.sends[len(h.sends)-1].to%2 != 0 || len(h.probes) != 0 {
		t.Fatal("the zone is suspected although one of its servers responded meanwhile")
	}
}

// A balancer that was partitioned itself finds all servers unresponsive. It must not stop sending for seconds
// after the partition ends.
func TestRequestsAreSentWhileAllServersAreUnresponsive(t *testing.T) {
	b, h := start(t, probingConfig(), ready(1, 2))
	for id := range ServerID(2) {
		b.Probed(0, id+1, false, UnknownLoad)
	}
	submit(b, ms, 1, nonIdempotentClass)
	if len(h.sends) != 1 {
		t.Fatal("no request was sent while all servers are unresponsive")
	}
	end(b, 2*ms, 1, 0, Served)
	for id := RequestID(2); id < 6; id++ { // one server has responded: the other is still unresponsive
		submit(b, 3*ms, id, nonIdempotentClass)
		end(b, 4*ms, id, 0, Served)
		if to := h.sends[len(h.sends)-1].to; to != h.sends[0].to {
			t.Fatalf("got a request at server %d, which is still unresponsive", to)
		}
	}
}

// The states of zones without listed servers must not accumulate.
func TestUnlistedZonesAreDropped(t *testing.T) {
	b, _ := start(t, probingConfig(), nil)
	for z := range 100 {
		b.List(0, ListFull, []Endpoint{{ID: 1, Zone: z, State: Ready, Weight: 1}})
		submit(b, 0, RequestID(z), idempotentClass)
		end(b, 0, RequestID(z), 0, Served)
	}
	if len(b.endpoints.zones) > 2 {
		t.Fatalf("got %d zones, want at most 2: one is listed", len(b.endpoints.zones))
	}
}

// An unresponsive server that drains must be probed again when its drain is cancelled; otherwise it would
// never receive requests again.
func TestUnresponsiveServerIsProbedAgainAfterADrain(t *testing.T) {
	b, h := start(t, probingConfig(), ready(1, 2))
	b.Probed(0, 1, false, UnknownLoad)
	now := ms
	for _, state := range []EndpointState{Draining, Ready} {
		b.List(now, ListDelta, []Endpoint{{ID: 1, State: state, Weight: 1}})
		for until := now + 5*time.Second; now < until; now += 50 * ms {
			b.Wake(now)
		}
		if probed := len(h.probes) > 0; probed != (state == Ready) {
			t.Fatalf("state %v: got probes %v, want some only if it is ready", state, h.probes)
		}
	}
}
