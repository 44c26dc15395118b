package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// While two processes of a sidecar run, they never exceed its slots and queue places together, whatever
// happens at either of them and however late the new one hears from the old one. When the old one
// has ended, the new one has all of them.
func TestTwoProcessesKeepToOneSetOfSlots(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		cfg := testConfig()
		predecessor, predecessorHost := start(t, cfg, ready(1, 2, 3))
		successor, successorHost := start(t, cfg, ready(1, 2, 3))
		type flight struct {
			b       *Balancer
			id      RequestID
			attempt int
		}
		var inFlight []flight
		seen := map[*fakeHost]int{}
		attempts := map[*Balancer]map[RequestID]int{predecessor: {}, successor: {}}
		collect := func(b *Balancer, h *fakeHost) {
			for ; seen[h] < len(h.sends); seen[h]++ {
				id := h.sends[seen[h]].id
				inFlight = append(inFlight, flight{b, id, attempts[b][id]})
				attempts[b][id]++
			}
		}
		now, id := time.Duration(0), RequestID(0)
		request := func(b *Balancer) {
			id++
			b.Request(now, Request{ID: id, Class: idempotentClass, Tenant: rng.IntN(2), TimeLeft: 2 * time.Second})
		}
		for range 20 {
			request(predecessor)
		}
		collect(predecessor, predecessorHost)
		successor.ReserveForPredecessor(now, predecessor.HandOver(rng.IntN(3)))
		var underway [][]BulkheadCapacity // messages from the old process to the new one
		for range 300 {
			now += ms
			switch rng.IntN(5) {
			case 0:
				request(predecessor)
			case 1, 2:
				request(successor)
			case 3:
				if len(inFlight) > 0 {
					i := rng.IntN(len(inFlight))
					f := inFlight[i]
					inFlight = slices.Delete(inFlight, i, i+1)
					ending := Served
					if seed%2 == 1 && rng.IntN(3) == 0 {
						ending = Rejected
					}
					end(f.b, now, f.id, f.attempt, ending)
				}
			case 4:
				underway = append(underway, predecessor.HandOver(rng.IntN(3)))
				if rng.IntN(2) == 0 {
					successor.ReserveForPredecessor(now, underway[0])
					underway = underway[1:]
				}
			}
			collect(predecessor, predecessorHost)
			collect(successor, successorHost)
			for i := range predecessor.bulkheads.byTenant {
				a, b := &predecessor.bulkheads.byTenant[i], &successor.bulkheads.byTenant[i]
				if total := b.capacity.Slots; a.used+b.used > total {
					t.Fatalf("seed %d, tenant %d: got %d and %d slots in use, want at most %d together", seed, i, a.used, b.used, total)
				}
				if total := b.capacity.Places; seed%2 == 0 && len(a.queue)+len(b.queue) > total { // retries may be queued beyond the places
					t.Fatalf("seed %d, tenant %d: got %d and %d requests queued, want at most %d together", seed, i, len(a.queue), len(b.queue), total)
				}
			}
		}
		successor.ReserveForPredecessor(now, nil)
		for i := range successor.bulkheads.byTenant {
			own := &successor.bulkheads.byTenant[i]
			if successor.SlotsFree(i) != own.capacity.Slots-own.used {
				t.Errorf("seed %d: slots are reserved for a process that has ended", seed)
			}
		}
	}
}

// Requests that are still coming to the old process keep a slot there, or a queue place if there is no
// slot, but never more than there were. The new process does without them.
func TestComingRequestsKeepTheirSlots(t *testing.T) {
	predecessor, h := start(t, testConfig(), ready(1, 2, 3))
	configured := predecessor.bulkheads.byTenant[0].capacity.Slots
	if kept := predecessor.HandOver(2); kept[0] != (BulkheadCapacity{2, min(2, predecessor.bulkheads.configured[0].Places)}) {
		t.Errorf("got %v kept for two coming requests, want 2 slots", kept[0])
	}
	submit(predecessor, 0, 1, idempotentClass)
	submit(predecessor, 0, 2, idempotentClass)
	if len(h.sends) != 2 || len(h.refused) != 0 {
		t.Errorf("got %d sent and %d refused of two coming requests, want 2 and 0", len(h.sends), len(h.refused))
	}
	if kept := predecessor.HandOver(1000); kept[0].Slots != 2 {
		t.Errorf("got %v kept of %d, want the 2 slots kept before", kept[0], configured)
	}
}

// A server that warms up gets nothing from either process while both run, and no more than its budget
// afterwards, whatever the old process sent last.
func TestTwoProcessesKeepToOneSlowStartBudget(t *testing.T) {
	now := 100 * time.Second
	warmingUp := ready(1, 2)
	warmingUp[0].Started = now
	predecessor, predecessorHost := start(t, testConfig(), nil)
	successor, successorHost := start(t, testConfig(), nil)
	predecessor.List(now, ListFull, warmingUp)
	successor.List(now, ListFull, warmingUp)
	successor.ReserveForPredecessor(now, predecessor.HandOver(0))
	for i := range 30 {
		id := RequestID(i + 1)
		for b, h := range map[*Balancer]*fakeHost{predecessor: predecessorHost, successor: successorHost} {
			submit(b, now, id, idempotentClass)
			if h.sentTo(1) > 0 {
				t.Fatal("a server that warms up gets requests while both processes run")
			}
			if n := len(h.sends); n > 0 && h.sends[n-1].id == id {
				end(b, now, id, 0, Served)
			}
		}
		now += ms
	}
	successor.ReserveForPredecessor(now, nil)
	interval := successor.slowStartInterval(now, successor.endpoints.find(1))
	if at := successor.endpoints.find(1).slowStart.nextSend; at < now+interval/2 {
		t.Errorf("the first send may come %v after the old process ended, want about %v", at-now, interval)
	}
	if successorHost.sentTo(1) > 0 {
		t.Error("a server that warms up gets a request at once")
	}
}
