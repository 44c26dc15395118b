package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// While two processes stand for one sidecar, what they hold together never exceeds
// its slots and places, whatever comes to either and however late the new one hears
// from the old; and when the old one has ended the new one has them all.
func TestTwoProcessesKeepToOneSetOfSlots(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		cfg := testConfig()
		old, oldHost := start(t, cfg, ready(1, 2, 3))
		fresh, freshHost := start(t, cfg, ready(1, 2, 3))
		type flight struct {
			b       *Balancer
			id      RequestID
			attempt int
		}
		var out []flight
		seen := map[*fakeHost]int{}
		tries := map[*Balancer]map[RequestID]int{old: {}, fresh: {}}
		collect := func(b *Balancer, h *fakeHost) {
			for ; seen[h] < len(h.sends); seen[h]++ {
				id := h.sends[seen[h]].id
				out = append(out, flight{b, id, tries[b][id]})
				tries[b][id]++
			}
		}
		now, id := time.Duration(0), RequestID(0)
		request := func(b *Balancer) {
			id++
			b.Request(now, Request{ID: id, Class: idempotentClass, Tenant: rng.IntN(2), TimeLeft: 2 * time.Second})
		}
		for range 20 {
			request(old)
		}
		collect(old, oldHost)
		fresh.ReserveForPredecessor(now, old.HandOver(rng.IntN(3)))
		var late [][]BulkheadCapacity // on their way
		for range 300 {
			now += ms
			switch rng.IntN(5) {
			case 0:
				request(old)
			case 1, 2:
				request(fresh)
			case 3:
				if len(out) > 0 {
					i := rng.IntN(len(out))
					f := out[i]
					out = append(out[:i], out[i+1:]...)
					ending := Served
					if seed%2 == 1 && rng.IntN(3) == 0 {
						ending = Rejected
					}
					end(f.b, now, f.id, f.attempt, ending)
				}
			case 4:
				late = append(late, old.HandOver(rng.IntN(3)))
				if rng.IntN(2) == 0 {
					fresh.ReserveForPredecessor(now, late[0])
					late = late[1:]
				}
			}
			collect(old, oldHost)
			collect(fresh, freshHost)
			for i := range old.bulkheads.byTenant {
				a, b := &old.bulkheads.byTenant[i], &fresh.bulkheads.byTenant[i]
				if total := b.capacity.Slots; a.used+b.used > total {
					t.Fatalf("seed %d: tenant %d holds %d and %d of %d slots", seed, i, a.used, b.used, total)
				}
				if total := b.capacity.Places; seed%2 == 0 && len(a.queue)+len(b.queue) > total { // retries wait beyond the places
					t.Fatalf("seed %d: tenant %d has %d and %d in %d places", seed, i, len(a.queue), len(b.queue), total)
				}
			}
		}
		fresh.ReserveForPredecessor(now, nil)
		for i := range fresh.bulkheads.byTenant {
			if fresh.SlotsFree(i) != fresh.bulkheads.byTenant[i].capacity.Slots-fresh.bulkheads.byTenant[i].used {
				t.Errorf("seed %d: slots are lent to a process that has ended", seed)
			}
		}
	}
}

// What is coming to the old process still has its slot there and a place where there is no slot, never
// more than there were; the new one does without.
func TestWhatIsComingKeepsItsSlot(t *testing.T) {
	old, h := start(t, testConfig(), ready(1, 2, 3))
	had := old.bulkheads.byTenant[0].capacity.Slots
	if held := old.HandOver(2); held[0] != (BulkheadCapacity{2, min(2, old.bulkheads.configured[0].Places)}) {
		t.Errorf("it keeps %v for two that are coming", held[0])
	}
	ask(old, 0, 1, idempotentClass)
	ask(old, 0, 2, idempotentClass)
	if len(h.sends) != 2 || len(h.refused) != 0 {
		t.Errorf("%d sent and %d refused of two that were coming", len(h.sends), len(h.refused))
	}
	if held := old.HandOver(1000); held[0].Slots != 2 {
		t.Errorf("what it keeps has grown to %v of %d", held[0], had)
	}
}

// A cold server gets nothing from either while both live, and afterwards no more
// than its budget, whatever the old process sent it last.
func TestTwoProcessesKeepToOneColdBudget(t *testing.T) {
	now := 100 * time.Second
	cold := ready(1, 2)
	cold[0].Started = now
	old, oldHost := start(t, testConfig(), nil)
	fresh, freshHost := start(t, testConfig(), nil)
	old.List(now, ListFull, cold)
	fresh.List(now, ListFull, cold)
	fresh.ReserveForPredecessor(now, old.HandOver(0))
	for i := range 30 {
		id := RequestID(i + 1)
		for b, h := range map[*Balancer]*fakeHost{old: oldHost, fresh: freshHost} {
			ask(b, now, id, idempotentClass)
			if h.sentTo(1) > 0 {
				t.Fatal("a cold server gets requests while both processes live")
			}
			if n := len(h.sends); n > 0 && h.sends[n-1].id == id {
				end(b, now, id, 0, Served)
			}
		}
		now += ms
	}
	fresh.ReserveForPredecessor(now, nil)
	gap := fresh.slowStartInterval(now, fresh.endpoints.find(1))
	if at := fresh.endpoints.find(1).slowStart.nextSend; at < now+gap/2 {
		t.Errorf("the first send may come %v after the old one's end, want about a gap of %v", at-now, gap)
	}
	if freshHost.sentTo(1) > 0 {
		t.Error("a cold server gets a request at once")
	}
}
