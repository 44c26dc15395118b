package policy

import (
	"math"
	"testing"
	"time"
)

func TestSlotsAndQueuePlaces(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5, 6, 7, 8)) // tenant 0: 6 slots and 1 queue place
	if b.SlotsFree(0) != 6 || b.SlotsFree(1) != 2 || b.QueueFree(0) != 1 || b.QueueFree(1) != 1 {
		t.Fatalf("got free slots %d and %d, free queue places %d and %d; want 6 and 2, 1 and 1", b.SlotsFree(0), b.SlotsFree(1), b.QueueFree(0), b.QueueFree(1))
	}
	for id := range RequestID(10) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 || b.QueueFree(0) != 0 {
		t.Fatalf("got %d sends and %d free queue places, want 6 and 0", len(h.sends), b.QueueFree(0))
	}
	if pause, ok := h.refused[9]; !ok || pause <= 0 || pause > time.Second {
		t.Fatalf("tenth request: got refused %v with pause %v, want an immediate refusal with a pause of at most 1 s", ok, pause)
	}
	if b.SlotsFree(1) != 2 {
		t.Fatalf("requests of tenant 0 occupy slots of tenant 1")
	}
	b.Request(0, Request{ID: 20, Class: idempotentClass, Tenant: 1, TimeLeft: 2 * time.Second})
	if len(h.sends) != 7 {
		t.Fatalf("the request of tenant 1 was not sent while the bulkhead of tenant 0 is full")
	}
	end(b, 50*ms, 0, 0, Served)
	if len(h.sends) != 8 || h.sends[7].id != 6 {
		t.Fatalf("got sends %v, want the first queued request sent in the released slot", h.sends)
	}
}

func TestDerivedSlots(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 0
	for _, balancers := range []int{1, 4, 64} {
		cfg.Balancers = balancers
		b, _ := start(t, cfg, ready(1))
		upperBound := 100*1*slotObjectiveShare + 2*slotDeviations*math.Sqrt(100*slotObjectiveShare) + 2
		if b.bulkheads.totalSlots < 2 || float64(b.bulkheads.totalSlots) > upperBound {
			t.Errorf("%d balancers: got %d slots, want 2 to %.0f", balancers, b.bulkheads.totalSlots, upperBound)
		}
		if b.SlotsFree(0) < b.SlotsFree(1) || b.QueueFree(1) < 1 {
			t.Errorf("%d balancers: got %d and %d slots, want more for the larger share, and at least one queue place", balancers, b.SlotsFree(0), b.SlotsFree(1))
		}
	}
	cfg.Tenants, cfg.Balancers = nil, 4 // no tenants and no quota: one bulkhead, sized from the first list
	b, h := start(t, cfg, ready(1, 2))
	b.Request(0, Request{ID: 1, TimeLeft: time.Second})
	if len(b.bulkheads.byTenant) != 1 || b.bulkheads.totalSlots != 11 || len(h.sends) != 1 {
		t.Fatalf("without tenants: got %d bulkheads, %d slots, %d sends; want 1, 11, 1", len(b.bulkheads.byTenant), b.bulkheads.totalSlots, len(h.sends))
	}
}

func TestNoFreeSlotsForUnknownTenants(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1))
	for _, tenant := range []int{-1, 2, 1 << 30} {
		if s, q := b.SlotsFree(tenant), b.QueueFree(tenant); s != 0 || q != 0 {
			t.Errorf("tenant %d: got %d free slots and %d free queue places, want none", tenant, s, q)
		}
	}
	if b.SlotsFree(0) == 0 || b.QueueFree(0) == 0 {
		t.Error("got no free slots or no free queue places in an idle bulkhead")
	}
}
