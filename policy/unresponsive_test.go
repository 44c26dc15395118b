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

// probingConfig is a configuration with probes and a price for crossing zones.
func probingConfig() Config {
	cfg := testConfig()
	cfg.MayProbe, cfg.CrossZoneCost, cfg.Slots = true, 0.02, 100
	return cfg
}

// Guards against this: each balancer finds out with requests of its own, again and
// again, that a server is not there.
func TestSilentServerGetsProbesAndNoRequests(t *testing.T) {
	b, h := start(t, probingConfig(), ready(1, 2))
	ask(b, 0, 1, idempotentClass)
	silent := h.sends[0].to
	end(b, 250*ms, 1, 0, NoConnection)
	before := h.sentTo(silent)
	now := 250 * ms
	for id := RequestID(2); id < 500; id++ {
		now += 20 * ms
		b.Wake(now)
		ask(b, now, id, idempotentClass)
		end(b, now, id, 0, Served)
		if n := len(h.probes); n > 0 && h.probes[n-1] == silent {
			h.probes = h.probes[:n-1]
			h.probes = append(h.probes, 0) // seen
			b.Probed(now, silent, false, UnknownLoad)
		}
	}
	if n := h.sentTo(silent); n != before {
		t.Fatalf("%d requests to a server that says nothing", n-before)
	}
	if n := len(h.probes); n < 3 || n > 20 {
		t.Fatalf("%d probes in 10 s, want a few", n)
	}
	b.Probed(now, silent, true, UnknownLoad)
	for id := RequestID(500); id < 504; id++ {
		ask(b, now, id, idempotentClass)
		end(b, now, id, 0, Served)
	}
	if h.sentTo(silent) == before {
		t.Fatal("a server that answers its probe again gets no requests")
	}
}

// Guards against this: a zone is cut off without a word, and each server of it costs
// each balancer a request and a slot until the time-out.
func TestZoneThatSaysNothingIsDoubted(t *testing.T) {
	b, h := start(t, probingConfig(), twoZones(8))
	for id := range RequestID(suspicionSends) {
		ask(b, 0, id, idempotentClass)
	}
	wait := time.Duration(suspicionObjectiveShare * float64(time.Second))
	b.Wake(wait - 10*ms)
	ask(b, wait-10*ms, 10, idempotentClass)
	if h.sends[suspicionSends].to%2 != 0 {
		t.Fatal("the near zone is given up before it is due")
	}
	b.Wake(wait)
	if len(h.probes) != 1 || h.probes[0]%2 != 0 {
		t.Fatalf("probes %v, want one into the doubted zone", h.probes)
	}
	for id := RequestID(20); id < 40; id++ {
		ask(b, wait, id, idempotentClass)
		end(b, wait, id, 0, Served)
		if to := h.sends[len(h.sends)-1].to; to%2 != 1 {
			t.Fatalf("a request to server %d of a zone that says nothing", to)
		}
	}
	for now := wait; now < wait+2*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if n := len(h.probes); n < 3 || n > 10 {
		t.Fatalf("%d probes in 2 s, want one each %v or so", n, suspicionProbeInterval)
	}
	now := wait + 2*time.Second
	b.Probed(now, h.probes[0], true, UnknownLoad)
	ask(b, now, 50, idempotentClass)
	if to := h.sends[len(h.sends)-1].to; to%2 != 0 {
		t.Fatal("the zone spoke again and gets nothing")
	}
}

// Guards against this: a few slow servers pass for a zone that is cut off.
func TestZoneThatSpeaksIsNotDoubted(t *testing.T) {
	b, h := start(t, probingConfig(), twoZones(8))
	for id := range RequestID(suspicionSends + 1) {
		ask(b, 0, id, idempotentClass)
	}
	end(b, 200*ms, 0, 0, Served)
	b.Wake(time.Second)
	ask(b, time.Second, 10, idempotentClass)
	if h.sends[len(h.sends)-1].to%2 != 0 || len(h.probes) != 0 {
		t.Fatal("the zone is doubted though one of its servers answered meanwhile")
	}
}

// Guards against this: a balancer that was cut off itself holds all servers to be
// silent, and sends nothing for seconds after it is back.
func TestAllSilentStillServes(t *testing.T) {
	b, h := start(t, probingConfig(), ready(1, 2))
	for id := range ServerID(2) {
		b.Probed(0, id+1, false, UnknownLoad)
	}
	ask(b, ms, 1, nonIdempotentClass)
	if len(h.sends) != 1 {
		t.Fatal("nothing is sent while all servers are held to be silent")
	}
	end(b, 2*ms, 1, 0, Served)
	for id := RequestID(2); id < 6; id++ { // one has answered: the other has to speak first
		ask(b, 3*ms, id, nonIdempotentClass)
		end(b, 4*ms, id, 0, Served)
		if to := h.sends[len(h.sends)-1].to; to != h.sends[0].to {
			t.Fatalf("a request to server %d, which is still silent", to)
		}
	}
}

// Guards against this: zones come and go with the servers, and their states pile up.
func TestZonesAreForgotten(t *testing.T) {
	b, _ := start(t, probingConfig(), nil)
	for z := range 100 {
		b.List(0, ListFull, []Endpoint{{ID: 1, Zone: z, State: Ready, Weight: 1}})
		ask(b, 0, RequestID(z), idempotentClass)
		end(b, 0, RequestID(z), 0, Served)
	}
	if len(b.endpoints.zones) > 2 {
		t.Fatalf("%d zones are kept, one is listed", len(b.endpoints.zones))
	}
}

// Guards against this: a silent server drains, is not looked at any more, and stays
// without requests for ever when its drain is called off.
func TestSilentServerIsProbedAgainAfterADrain(t *testing.T) {
	b, h := start(t, probingConfig(), ready(1, 2))
	b.Probed(0, 1, false, UnknownLoad)
	now := ms
	for _, state := range []EndpointState{Draining, Ready} {
		b.List(now, ListDelta, []Endpoint{{ID: 1, State: state, Weight: 1}})
		for until := now + 5*time.Second; now < until; now += 50 * ms {
			b.Wake(now)
		}
		if probed := len(h.probes) > 0; probed != (state == Ready) {
			t.Fatalf("state %v: probes %v", state, h.probes)
		}
	}
}
