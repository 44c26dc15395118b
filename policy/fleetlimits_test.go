package policy

import (
	"testing"
	"time"
)

// A rule tightens walls between two events: nothing that was taken is lost or doubled,
// nothing new passes the walls, and what was configured is the most there ever is.
func TestGovern(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3)) // 6 and 2 slots, 1 place each
	now := time.Duration(0)
	for id := range RequestID(7) {
		ask(b, now, id+1, idempotentClass)
	}
	if len(h.sends) != 6 || b.QueueFree(0) != 0 {
		t.Fatalf("%d are sent, %d places are free", len(h.sends), b.QueueFree(0))
	}
	b.SetFleetLimits(now, FleetLimits{Bulkheads: []BulkheadCapacity{{2, 1}, {9, 9}}, MaxAttempts: 9})
	if b.SlotsFree(0) != 0 || b.SlotsFree(1) != 2 || b.cfg.MaxAttempts != 3 || len(h.refused) != 0 {
		t.Errorf("after a tighter rule: %d and %d slots free, %d attempts, refused %v", b.SlotsFree(0), b.SlotsFree(1), b.cfg.MaxAttempts, h.refused)
	}
	for id := range RequestID(4) { // the walls are at 2: what ends makes room for nobody yet
		end(b, now, id+1, 0, Served)
	}
	if len(h.sends) != 6 {
		t.Errorf("%d are sent beyond the walls", len(h.sends)-6)
	}
	end(b, now, 5, 0, Served)
	if len(h.sends) != 7 { // the one that waited
		t.Errorf("the queue is not fed: %d sends", len(h.sends))
	}
	ask(b, now, 20, idempotentClass)
	ask(b, now, 21, idempotentClass)
	if _, refused := h.refused[21]; !refused || len(h.sends) != 7 {
		t.Errorf("beyond slots and queue: %v, %d sends", h.refused, len(h.sends))
	}
	// A tenant that is served no more: who waits is told at once, who runs ends.
	b.SetFleetLimits(now, FleetLimits{Bulkheads: []BulkheadCapacity{{}, {2, 1}}, MaxAttempts: 1, NoProbes: true})
	if _, refused := h.refused[20]; !refused || b.cfg.MaxAttempts != 1 || b.cfg.MayProbe {
		t.Errorf("who waited was not told: %v", h.refused)
	}
	end(b, now, 6, 0, NoConnection) // with one attempt at most there is no other
	end(b, now, 7, 0, Served)
	if _, refused := h.refused[6]; !refused || len(h.failed) != 0 || len(b.requests) != 0 {
		t.Errorf("the end of what ran: %v, %v, %d held", h.refused, h.failed, len(b.requests))
	}
	ask(b, now, 30, idempotentClass)
	if _, refused := h.refused[30]; !refused {
		t.Error("a tenant without slots is served")
	}
	b.SetFleetLimits(now, FleetLimits{})
	if b.SlotsFree(0) != 6 || b.QueueFree(0) != 1 || b.cfg.MaxAttempts != 3 {
		t.Errorf("without a rule: %d slots, %d places, %d attempts", b.SlotsFree(0), b.QueueFree(0), b.cfg.MaxAttempts)
	}
	// A process that leaves its place to another never grows again.
	held := b.HandOver(0)
	b.SetFleetLimits(now, FleetLimits{})
	if b.SlotsFree(0) != 0 || held[0] != (BulkheadCapacity{}) {
		t.Errorf("a process that leaves has %d slots, and said %v", b.SlotsFree(0), held)
	}
}

// A count of the balancers from elsewhere divides budgets among more, and never among
// fewer than are configured.
func TestFleetOnlyTightens(t *testing.T) {
	cfg := probingConfig()
	cfg.Balancers = 10
	b, _ := start(t, cfg, ready(1, 2))
	for _, c := range []struct{ said, want int }{{3, 10}, {40, 40}, {0, 10}, {-5, 10}, {12, 12}} {
		if b.SetFleetSize(c.said); b.cfg.Balancers != c.want {
			t.Errorf("%d are said, %d count; want %d", c.said, b.cfg.Balancers, c.want)
		}
	}
}
