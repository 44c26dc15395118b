package policy

import (
	"math"
	"testing"
	"time"
)

func TestRotationFollowsWeights(t *testing.T) {
	list := ready(1, 2, 3)
	list[2].Weight = 2
	b, h := start(t, testConfig(), list)
	for id := range RequestID(40) {
		now := time.Duration(id) * 20 * ms
		submit(b, now, id, idempotentClass)
		end(b, now+10*ms, id, 0, Served)
	}
	if h.sentTo(1) != 10 || h.sentTo(2) != 10 || h.sentTo(3) != 20 {
		t.Fatalf("got %d, %d and %d requests, want 10, 10 and 20", h.sentTo(1), h.sentTo(2), h.sentTo(3))
	}
	if c := b.Counters(); c.Ordinary != 40 {
		t.Fatalf("got %d ordinary sends, want 40", c.Ordinary)
	}
}

func TestMissingWeightsCountAlike(t *testing.T) {
	list := []Endpoint{{ID: 1, State: Ready}, {ID: 2, State: Ready, Weight: math.NaN()}}
	b, h := start(t, testConfig(), list)
	for id := range RequestID(10) {
		now := time.Duration(id) * 20 * ms
		submit(b, now, id, idempotentClass)
		end(b, now+10*ms, id, 0, Served)
	}
	if h.sentTo(1) != 5 || h.sentTo(2) != 5 {
		t.Fatalf("got %d and %d requests, want 5 and 5", h.sentTo(1), h.sentTo(2))
	}
}

// Zones must not be crossed on every request if that has a cost.
func TestNearServersFirst(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost, cfg.Zone = 0.02, 1
	list := ready(1, 2, 3)
	list[2].Zone = 1
	b, h := start(t, cfg, list)
	submit(b, 0, 1, idempotentClass)
	submit(b, 0, 2, idempotentClass)
	if h.sentTo(3) != 2 {
		t.Fatalf("sends %v, want both in the near zone", h.sends)
	}
	for id := RequestID(3); id < 8; id++ {
		submit(b, 0, id, idempotentClass)
	}
	if h.sentTo(1)+h.sentTo(2) == 0 {
		t.Fatal("nothing was sent to the other zone although the near server is at its limit")
	}
}

// Servers that answer late, because they are slow or crowded by others, must not keep an even part of
// the attempts.
func TestSlowServerGetsASmallerInFlightLimit(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for range 50 {
		b.endpoints.find(1).meanSquareShare += (0.8*0.8 - b.endpoints.find(1).meanSquareShare) / 8
	}
	if slow, quick := b.inFlightLimit(b.endpoints.find(1)), b.inFlightLimit(b.endpoints.find(2)); slow != 1 || quick != 4 {
		t.Fatalf("got limits of %v and %v, want 1 and 4", slow, quick)
	}
}

// The in-flight limits of all balancers together must not let servers become overloaded.
func TestReportedLoadBoundsTheFleet(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.LoadReports = true, true
	b, h := start(t, cfg, ready(1, 2))
	b.Probed(ms, 1, true, LoadReport{InFlight: 50})
	for id := range RequestID(2 * probeInterval) {
		submit(b, ms, id, idempotentClass)
		end(b, ms, id, 0, Served)
	}
	if h.sentTo(1) != 0 || h.sentTo(2) != 2*probeInterval {
		t.Fatalf("got %d requests at the full server and %d at the other, want 0 and %d", h.sentTo(1), h.sentTo(2), 2*probeInterval)
	}
	if len(h.probes) != 2 {
		t.Fatalf("got %d probes for %d requests, want 2", len(h.probes), 2*probeInterval)
	}
	b.Probed(2*ms, 9, true, LoadReport{InFlight: 1}) // a server not listed
	b.Probed(2*ms, 9, false, UnknownLoad)            // and one whose probe failed
	for id := RequestID(10); id < 12; id++ {
		submit(b, 2*time.Second, id, idempotentClass) // the report is old by now
	}
	if h.sentTo(1) == 0 {
		t.Fatal("an old report still excludes the server")
	}
}

// A load report is older than most requests take: with one request more than the other balancers
// usually have there, the server is not full.
func TestReportedLoadToleratesOldReports(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.LoadReports = true, true
	b, h := start(t, cfg, ready(1, 2))
	usual := b.endpoints.weightShare(b.bulkheads.expectedInFlight, b.endpoints.find(1))
	for _, id := range []ServerID{1, 2} {
		b.Probed(0, id, true, LoadReport{InFlight: usual + 1})
	}
	submit(b, ms, 1, idempotentClass)
	if len(h.sends) != 1 {
		t.Error("nothing is sent although no server is full")
	}
	for _, id := range []ServerID{1, 2} {
		b.Probed(2*ms, id, true, LoadReport{InFlight: usual + 4})
	}
	submit(b, 3*ms, 2, idempotentClass)
	if len(h.sends) != 1 {
		t.Error("sent to servers that are full by their report")
	}
}

// When servers leave, the remaining ones must not get their parts too.
func TestInFlightLimitsDoNotGrowWhenServersLeave(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe = true
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.List(ms, ListFull, ready(1))
	for id := range RequestID(6) {
		submit(b, ms, id, idempotentClass)
	}
	if h.sentTo(1) != 2 {
		t.Fatalf("got %d of 8 slots at the last of four servers, want 2", h.sentTo(1))
	}
	b.Probed(2*ms, 1, true, LoadReport{InFlight: 6}) // 12 when traffic is at its quotas, a fourth of them at one server
	end(b, 3*ms, h.sends[0].id, 0, Served)
	submit(b, 3*ms, 10, idempotentClass)
	if h.sentTo(1) != 2 {
		t.Fatal("the last of four servers gets more than a fourth of the fleet's attempts and two")
	}
}

// While replacements overlap with what they replace, the sum of the weights is too high. If it were
// kept, each server's limit would be too low for good; if it were dropped at once, servers that are
// away for a moment would leave the others overloaded.
func TestPeakWeightDecays(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	limit := func() float64 { return b.inFlightLimit(b.endpoints.find(1)) }
	alone := limit()
	b.List(time.Second, ListFull, ready(1, 2, 3, 4))
	overlap := limit()
	b.List(2*time.Second, ListFull, ready(1, 3))
	after := limit()
	b.List(10*time.Minute, ListDelta, nil)
	if late := limit(); overlap > alone*0.6 || after > overlap*1.1 || late < alone*0.99 {
		t.Errorf("limits: %v, during the overlap %v, right after it %v, much later %v", alone, overlap, after, late)
	}
}
