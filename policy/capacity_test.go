package policy

import (
	"math"
	"testing"
	"time"
)

// If servers listed at twice the weight have only a third more capacity, the listed weights overload them.
func TestLoadReportsCorrectListedWeights(t *testing.T) {
	list := ready(1, 2)
	list[1].Weight = 2
	b, h := start(t, lowTrafficConfig(), list)
	if b.endpoints.find(1).capacity != 1 || b.endpoints.find(2).capacity != 2 {
		t.Fatalf("before any report: got capacities %v and %v, want 1 and 2", b.endpoints.find(1).capacity, b.endpoints.find(2).capacity)
	}
	for range 50 {
		b.Probed(ms, 1, true, LoadReport{InFlight: -1, Queued: 0, Utilization: 0.5, ServedPerSecond: 15}) // capacity 30 per second
		b.Probed(ms, 2, true, LoadReport{InFlight: -1, Queued: 3, Utilization: 1, ServedPerSecond: 40})   // capacity 40 per second
		b.Probed(ms, 1, true, LoadReport{InFlight: -1, Queued: 0, Utilization: 0.1, ServedPerSecond: 40}) // utilization too low to count
		b.Probed(ms, 1, true, UnknownLoad)
	}
	if got := b.endpoints.find(2).capacity / b.endpoints.find(1).capacity; math.Abs(got-4.0/3) > 0.05 {
		t.Fatalf("got capacities %v and %v, want a third more for the second server", b.endpoints.find(1).capacity, b.endpoints.find(2).capacity)
	}
	for id := range RequestID(70) {
		submit(b, ms, id, idempotentClass)
		end(b, ms, id, 0, Served)
	}
	if n := h.sentTo(2); n < 38 || n > 42 {
		t.Fatalf("got %d of 70 requests at the larger server, want 40", n)
	}
	for i := range 2 * maxWeightClasses {
		list = append(list, Endpoint{ID: ServerID(10 + i), State: Ready, Weight: 1 + float64(i)/100})
	}
	b.List(ms, ListFull, list)
	for _, s := range b.endpoints.servers {
		b.Probed(ms, s.ID, true, LoadReport{InFlight: -1, Queued: 0, Utilization: 1, ServedPerSecond: 20})
	}
	if len(b.capacities.classes) > maxWeightClasses {
		t.Fatalf("got %d weight classes, want at most %d", len(b.capacities.classes), maxWeightClasses)
	}
}

// The probes of a large fleet add up, so each balancer with low traffic must send few of them.
func TestLowTrafficLimitsLoadProbes(t *testing.T) {
	cfg := lowTrafficConfig()
	cfg.LoadReports = true
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	for id := range RequestID(firstRequests + 160) {
		now := time.Duration(id) * 50 * ms
		submit(b, now, id, idempotentClass)
		end(b, now+ms, id, 0, Served)
	}
	if want := firstRequests/firstProbeInterval + 160/probeInterval; len(h.probes) != want {
		t.Fatalf("got %d probes, want %d", len(h.probes), want)
	}
}
