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

func TestMissingWeightsCountAsEqual(t *testing.T) {
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

// If crossing zones has a cost, requests must use the local zone while it has capacity.
func TestLocalZoneIsPreferred(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost, cfg.Zone = 0.02, 1
	list := ready(1, 2, 3)
	list[2].Zone = 1
	b, h := start(t, cfg, list)
	submit(b, 0, 1, idempotentClass)
	submit(b, 0, 2, idempotentClass)
	if h.sentTo(3) != 2 {
		t.Fatalf("got sends %v, want both in the local zone", h.sends)
	}
	for id := RequestID(3); id < 8; id++ {
		submit(b, 0, id, idempotentClass)
	}
	if h.sentTo(1)+h.sentTo(2) == 0 {
		t.Fatal("no request was sent to the other zone although the server of the local zone is at its limit")
	}
}

// Servers that respond late, because they are slow or loaded by other balancers, must not get an even share
// of the attempts.
func TestSlowServerGetsASmallerInFlightLimit(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for range 50 {
		b.endpoints.find(1).meanSquareShare += (0.8*0.8 - b.endpoints.find(1).meanSquareShare) / 8
	}
	if slow, fast := b.inFlightLimit(b.endpoints.find(1)), b.inFlightLimit(b.endpoints.find(2)); slow != 1 || fast != 4 {
		t.Fatalf("got limits of %v and %v, want 1 and 4", slow, fast)
	}
}

// The sum of the in-flight limits of all balancers could overload a server, so its reported load must also
// limit the requests that it gets.
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
	b.Probed(2*ms, 9, true, LoadReport{InFlight: 1}) // an unlisted server
	b.Probed(2*ms, 9, false, UnknownLoad)            // and a failed probe of one
	for id := RequestID(10); id < 12; id++ {
		submit(b, 2*time.Second, id, idempotentClass) // the report has expired
	}
	if h.sentTo(1) == 0 {
		t.Fatal("the server is still excluded because of an expired report")
	}
}

// The age of a load report usually exceeds the duration of most requests. A server that reports one request more
// than expected from the other balancers must not count as full.
func TestReportedLoadToleratesOldReports(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.LoadReports = true, true
	b, h := start(t, cfg, ready(1, 2))
	expected := b.endpoints.weightShare(b.bulkheads.expectedInFlight, b.endpoints.find(1))
	for _, id := range []ServerID{1, 2} {
		b.Probed(0, id, true, LoadReport{InFlight: expected + 1})
	}
	submit(b, ms, 1, idempotentClass)
	if len(h.sends) != 1 {
		t.Error("no request was sent although no server is full")
	}
	for _, id := range []ServerID{1, 2} {
		b.Probed(2*ms, id, true, LoadReport{InFlight: expected + 4})
	}
	submit(b, 3*ms, 2, idempotentClass)
	if len(h.sends) != 1 {
		t.Error("a request was sent to a server that is full by its report")
	}
}

// When servers leave, the remaining ones must not get their share of the attempts.
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
	b.Probed(2*ms, 1, true, LoadReport{InFlight: 6}) // expected at quota: a fourth of 12 per server
	end(b, 3*ms, h.sends[0].id, 0, Served)
	submit(b, 3*ms, 10, idempotentClass)
	if h.sentTo(1) != 2 {
		t.Fatal("the last of four servers got more than a fourth of the expected requests plus two")
	}
}

// The sum of the weights is too high while replacement servers overlap with those they replace. If the peak
// were kept, the limit of each server would stay too low; if it were dropped immediately, a short absence of
// some servers would overload the others.
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
		t.Errorf("got limits %v before, %v during, %v right after and %v long after the overlap, want a lower one during and right after it, and the first one at the end", alone, overlap, after, late)
	}
}
