package policy

import (
	"testing"
	"time"
)

// Limits may become stricter between any two events. No accepted request may be lost or answered twice, no
// new request may exceed the limits, and the configured limits may never be exceeded.
func TestFleetLimits(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3)) // 6 and 2 slots, 1 queue place each
	now := time.Duration(0)
	for id := range RequestID(7) {
		submit(b, now, id+1, idempotentClass)
	}
	if len(h.sends) != 6 || b.QueueFree(0) != 0 {
		t.Fatalf("got %d sends and %d free queue places, want 6 and 0", len(h.sends), b.QueueFree(0))
	}
	b.SetFleetLimits(now, FleetLimits{Bulkheads: []BulkheadCapacity{{2, 1}, {9, 9}}, MaxAttempts: 9})
	if b.SlotsFree(0) != 0 || b.SlotsFree(1) != 2 || b.cfg.MaxAttempts != 3 || len(h.refused) != 0 {
		t.Errorf("under stricter limits: got %d and %d free slots, %d attempts, refused %v; want 0, 2, 3 and none", b.SlotsFree(0), b.SlotsFree(1), b.cfg.MaxAttempts, h.refused)
	}
	for id := range RequestID(4) { // the limit is 2: released slots are not reused yet
		end(b, now, id+1, 0, Served)
	}
	if len(h.sends) != 6 {
		t.Errorf("got %d sends beyond the limit, want none", len(h.sends)-6)
	}
	end(b, now, 5, 0, Served)
	if len(h.sends) != 7 { // the queued request
		t.Errorf("got %d sends, want 7, including the queued request", len(h.sends))
	}
	submit(b, now, 20, idempotentClass)
	submit(b, now, 21, idempotentClass)
	if _, refused := h.refused[21]; !refused || len(h.sends) != 7 {
		t.Errorf("beyond slots and queue places: got refused %v and %d sends, want request 21 refused and 7 sends", h.refused, len(h.sends))
	}
	// For a tenant without slots, queued requests are refused immediately and those in flight continue.
	b.SetFleetLimits(now, FleetLimits{Bulkheads: []BulkheadCapacity{{}, {2, 1}}, MaxAttempts: 1, NoProbes: true})
	if _, refused := h.refused[20]; !refused || b.cfg.MaxAttempts != 1 || b.cfg.MayProbe {
		t.Errorf("got refused %v, want the queued request refused immediately", h.refused)
	}
	end(b, now, 6, 0, NoConnection) // with one attempt there is no retry
	end(b, now, 7, 0, Served)
	if _, refused := h.refused[6]; !refused || len(h.failed) != 0 || len(b.requests) != 0 {
		t.Errorf("after the requests in flight ended: got refused %v, failed %v, %d requests kept; want 6 refused, none failed or kept", h.refused, h.failed, len(b.requests))
	}
	submit(b, now, 30, idempotentClass)
	if _, refused := h.refused[30]; !refused {
		t.Error("the request of a tenant without slots was not refused")
	}
	b.SetFleetLimits(now, FleetLimits{})
	if b.SlotsFree(0) != 6 || b.QueueFree(0) != 1 || b.cfg.MaxAttempts != 3 {
		t.Errorf("without limits: got %d slots, %d queue places, %d attempts; want 6, 1, 3", b.SlotsFree(0), b.QueueFree(0), b.cfg.MaxAttempts)
	}
	// The capacity of a process that has handed over never grows again.
	kept := b.HandOver(0)
	b.SetFleetLimits(now, FleetLimits{})
	if b.SlotsFree(0) != 0 || kept[0] != (BulkheadCapacity{}) {
		t.Errorf("after the hand-over: got %d free slots and capacity %v kept, want none", b.SlotsFree(0), kept)
	}
}

// A reported fleet size divides budgets among more balancers than configured, but never among fewer.
func TestFleetSizeNeverFallsBelowConfigured(t *testing.T) {
	cfg := probingConfig()
	cfg.Balancers = 10
	b, _ := start(t, cfg, ready(1, 2))
	for _, c := range []struct{ reported, want int }{{3, 10}, {40, 40}, {0, 10}, {-5, 10}, {12, 12}} {
		if b.SetFleetSize(c.reported); b.cfg.Balancers != c.want {
			t.Errorf("fleet size %d: got %d balancers, want %d", c.reported, b.cfg.Balancers, c.want)
		}
	}
}
