package policy

import (
	"testing"
	"time"
)

// Limits may become stricter between any two events: no accepted request is lost or answered twice,
// nothing new exceeds the limits, and the configured limits are never exceeded.
func TestFleetLimits(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3)) // 6 and 2 slots, 1 place each
	now := time.Duration(0)
	for id := range RequestID(7) {
		submit(b, now, id+1, idempotentClass)
	}
	if len(h.sends) != 6 || b.QueueFree(0) != 0 {
		t.Fatalf("got %d sends and %d free places, want 6 and 0", len(h.sends), b.QueueFree(0))
	}
	b.SetFleetLimits(now, FleetLimits{Bulkheads: []BulkheadCapacity{{2, 1}, {9, 9}}, MaxAttempts: 9})
	if b.SlotsFree(0) != 0 || b.SlotsFree(1) != 2 || b.cfg.MaxAttempts != 3 || len(h.refused) != 0 {
		t.Errorf("under stricter limits: got %d and %d free slots, %d attempts, refused %v; want 0, 2, 3 and none", b.SlotsFree(0), b.SlotsFree(1), b.cfg.MaxAttempts, h.refused)
	}
	for id := range RequestID(4) { // the limit is 2: the slots that become free are not given out yet
		end(b, now, id+1, 0, Served)
	}
	if len(h.sends) != 6 {
		t.Errorf("%d are sent beyond the limit", len(h.sends)-6)
	}
	end(b, now, 5, 0, Served)
	if len(h.sends) != 7 { // the queued one
		t.Errorf("got %d sends, want 7: the queue is not served", len(h.sends))
	}
	submit(b, now, 20, idempotentClass)
	submit(b, now, 21, idempotentClass)
	if _, refused := h.refused[21]; !refused || len(h.sends) != 7 {
		t.Errorf("beyond slots and queue: refused %v, %d sends; want 21 refused and 7 sends", h.refused, len(h.sends))
	}
	// A tenant without slots: queued requests are refused at once, those in flight end.
	b.SetFleetLimits(now, FleetLimits{Bulkheads: []BulkheadCapacity{{}, {2, 1}}, MaxAttempts: 1, NoProbes: true})
	if _, refused := h.refused[20]; !refused || b.cfg.MaxAttempts != 1 || b.cfg.MayProbe {
		t.Errorf("refused %v, want the queued request refused at once", h.refused)
	}
	end(b, now, 6, 0, NoConnection) // with one attempt there is no retry
	end(b, now, 7, 0, Served)
	if _, refused := h.refused[6]; !refused || len(h.failed) != 0 || len(b.requests) != 0 {
		t.Errorf("after those in flight ended: refused %v, failed %v, %d requests kept", h.refused, h.failed, len(b.requests))
	}
	submit(b, now, 30, idempotentClass)
	if _, refused := h.refused[30]; !refused {
		t.Error("a request of a tenant without slots was not refused")
	}
	b.SetFleetLimits(now, FleetLimits{})
	if b.SlotsFree(0) != 6 || b.QueueFree(0) != 1 || b.cfg.MaxAttempts != 3 {
		t.Errorf("without limits: got %d slots, %d places, %d attempts; want 6, 1, 3", b.SlotsFree(0), b.QueueFree(0), b.cfg.MaxAttempts)
	}
	// A process that has handed over never grows again.
	kept := b.HandOver(0)
	b.SetFleetLimits(now, FleetLimits{})
	if b.SlotsFree(0) != 0 || kept[0] != (BulkheadCapacity{}) {
		t.Errorf("a process that has handed over has %d free slots and keeps %v, want none", b.SlotsFree(0), kept)
	}
}

// A reported fleet size divides budgets among more balancers, but never among fewer than configured.
func TestFleetSizeOnlyTightens(t *testing.T) {
	cfg := probingConfig()
	cfg.Balancers = 10
	b, _ := start(t, cfg, ready(1, 2))
	for _, c := range []struct{ reported, want int }{{3, 10}, {40, 40}, {0, 10}, {-5, 10}, {12, 12}} {
		if b.SetFleetSize(c.reported); b.cfg.Balancers != c.want {
			t.Errorf("fleet size %d: got %d balancers, want %d", c.reported, b.cfg.Balancers, c.want)
		}
	}
}
