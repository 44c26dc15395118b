package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// While two processes of a sidecar run, they must together never exceed its slots and queue places,
// regardless of their events and of the delay of messages from the predecessor. After the predecessor has
// ended, the successor has all of them.
func TestTwoProcessesShareOneSetOfSlots(t *testing.T) {
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
		var undelivered [][]BulkheadCapacity // messages from the predecessor to the successor
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
				undelivered = append(undelivered, predecessor.HandOver(rng.IntN(3)))
				if rng.IntN(2) == 0 {
					successor.ReserveForPredecessor(now, undelivered[0])
					undelivered = undelivered[1:]
				}
			}
			collect(predecessor, predecessorHost)
			collect(successor, successorHost)
			for i := range predecessor.bulkheads.byTenant {
				a, b := &predecessor.bulkheads.byTenant[i], &successor.bulkheads.byTenant[i]
				if total := b.capacity.Slots; a.used+b.used > total {
					t.Fatalf("seed %d, tenant %d: got %d and %d slots in use, want at most %d together", seed, i, a.used, b.used, total)
				}
				if total := b.capacity.Places; seed%2 == 0 && len(a.queue)+len(b.queue) > total { // retries may exceed it
					t.Fatalf("seed %d, tenant %d: got %d and %d requests queued, want at most %d together", seed, i, len(a.queue), len(b.queue), total)
				}
			}
		}
		successor.ReserveForPredecessor(now, nil)
		for i := range successor.bulkheads.byTenant {
			own := &successor.bulkheads.byTenant[i]
			if successor.SlotsFree(i) != own.capacity.Slots-own.used {
				t.Errorf("seed %d: slots are still reserved for a predecessor that has ended", seed)
			}
		}
	}
}

// Requests that are about to arrive at the predecessor keep a slot there, or a queue place if no slot is
// left, but never more than it had. This capacity is not available to the successor.
func TestIncomingRequestsKeepTheirSlots(t *testing.T) {
	predecessor, h := start(t, testConfig(), ready(1, 2, 3))
	configured := predecessor.bulkheads.byTenant[0].capacity.Slots
	if kept := predecessor.HandOver(2); kept[0] != (BulkheadCapacity{2, min(2, predecessor.bulkheads.configured[0].Places)}) {
		t.Errorf("got %v kept for two incoming requests, want 2 slots", kept[0])
	}
	submit(predecessor, 0, 1, idempotentClass)
	submit(predecessor, 0, 2, idempotentClass)
	if len(h.sends) != 2 || len(h.refused) != 0 {
		t.Errorf("got %d sent and %d refused of two incoming requests, want 2 and 0", len(h.sends), len(h.refused))
	}
	if kept := predecessor.HandOver(1000); kept[0].Slots != 2 {
		t.Errorf("got %v kept of %d slots, want the 2 slots kept before", kept[0], configured)
	}
}

// A server that is warming up must get no requests from either process while both run, and no more than its
// budget afterwards, regardless of the predecessor's last sends.
func TestTwoProcessesShareOneSlowStartBudget(t *testing.T) {
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
				t.Fatal("a server that is warming up got a request while both processes run")
			}
			if n := len(h.sends); n > 0 && h.sends[n-1].id == id {
				end(b, now, id, 0, Served)
			}
		}
		now += ms
	}
	successor.ReserveForPredecessor(now, nil)
	interval := successor.slowStartInterval(now, successor.endpoints.find(1))
	if at := successor.endpoints.find(1).slowStart.nextSendAt; at < now+interval/2 {
		t.Errorf("got the first possible send %v after the predecessor ended, want about %v", at-now, interval)
	}
	if successorHost.sentTo(1) > 0 {
		t.Error("a server that is warming up got a request immediately after the predecessor ended")
	}
}
