package policy

import (
	"math"
	"testing"
	"time"
)

// affinityConfig is a configuration with key affinity.
func affinityConfig() Config {
	cfg := testConfig()
	cfg.KeyAffinity, cfg.Slots = true, 100
	return cfg
}

// cells lists n cells of three servers each; the ids of cell c are 10c, 10c+1 and 10c+2.
func cells(n int) []Endpoint {
	var list []Endpoint
	for c := range n {
		for i := range 3 {
			list = append(list, Endpoint{ID: ServerID(10*c + i), Cell: c, State: Ready, Weight: 1})
		}
	}
	return list
}

// cellFor submits a request with a key and returns the cell of the server that received it.
func cellFor(b *Balancer, h *fakeHost, now time.Duration, key uint64) int {
	id := RequestID(len(h.sends) + 1000)
	b.Request(now, Request{ID: id, Class: idempotentClass, TimeLeft: 3 * time.Second, AffinityKey: key})
	to := h.sends[len(h.sends)-1].to
	end(b, now, id, 0, Served)
	return int(to / 10)
}

// If balancers chose different cells for a key, every cell would receive all keys, but each cell caches only
// a limited number of them.
func TestBalancersAgreeOnTheCellOfAKey(t *testing.T) {
	list := cells(5)
	b1, h1 := start(t, affinityConfig(), list)
	for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 { // reversed
		list[i], list[j] = list[j], list[i]
	}
	b2, h2 := start(t, affinityConfig(), list)
	count := make([]int, 5)
	for key := range uint64(1000) {
		first := cellFor(b1, h1, 0, key+1)
		if again := cellFor(b1, h1, 0, key+1); again != first {
			t.Fatalf("key %d: got cell %d, then cell %d, want the same cell", key+1, first, again)
		}
		if other := cellFor(b2, h2, 0, key+1); other != first {
			t.Fatalf("key %d: got cell %d at the first balancer and %d at the second, want the same cell", key+1, first, other)
		}
		count[first]++
	}
	for c, n := range count {
		if n < 150 || n > 250 {
			t.Errorf("cell %d: got %d of 1000 keys, want about 200", c, n)
		}
	}
	requests := map[ServerID]int{}
	for _, s := range h1.sends {
		requests[s.to]++
	}
	for c := range 5 {
		for i := range 3 {
			if id := ServerID(10*c + i); math.Abs(float64(requests[id])-float64(2*count[c])/3) > 2 {
				t.Errorf("server %d: got %d of %d requests of its cell, want an even share", id, requests[id], 2*count[c])
			}
		}
	}
}

// Removing a cell, or its servers becoming unresponsive, must not move the keys of other cells.
func TestCellLossMovesOnlyItsKeys(t *testing.T) {
	b, h := start(t, affinityConfig(), cells(5))
	before := map[uint64]int{}
	for key := range uint64(300) {
		before[key+1] = cellFor(b, h, 0, key+1)
	}
	b.List(0, ListFull, cells(4)) // without the last cell
	second := map[uint64]int{}
	for key := range uint64(300) {
		c := cellFor(b, h, 0, key+1)
		if before[key+1] != 4 && c != before[key+1] {
			t.Fatalf("key %d: moved from cell %d to %d although its cell is still listed", key+1, before[key+1], c)
		}
		second[key+1] = c
	}
	b, h = start(t, affinityConfig(), cells(5))
	for _, s := range b.endpoints.servers {
		if s.Cell == 4 {
			s.unresponsive = true
		}
	}
	b.cfg.MayProbe = true
	for key := range uint64(300) {
		if c := cellFor(b, h, 0, key+1); c != second[key+1] {
			t.Fatalf("key %d: got cell %d, want its second-ranked cell %d", key+1, c, second[key+1])
		}
	}
}

// Requests without a key must not all be sent to one cell.
func TestRequestsWithoutAKeyUseAllServers(t *testing.T) {
	b, h := start(t, affinityConfig(), cells(3))
	for id := range RequestID(90) {
		submit(b, 0, id, idempotentClass)
		end(b, 0, id, 0, Served)
	}
	for _, s := range b.endpoints.servers {
		if n := h.sentTo(s.ID); n != 10 {
			t.Errorf("got %d of 90 requests at server %d, want 10", n, s.ID)
		}
	}
}
