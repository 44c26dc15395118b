package policy

import (
	"testing"
	"time"
)

func TestRetries(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		ends  Ending
		retry bool
		fails bool // whether the request is failed, and not refused, if it is not retried
	}{
		{"idempotent after an error", idempotentClass, Errored, true, false},
		{"idempotent by key after a reset", keyedAllClass, Broken, true, false},
		{"non-idempotent rejected", nonIdempotentClass, Rejected, true, false},
		{"non-idempotent without a connection", nonIdempotentClass, NoConnection, true, false},
		{"non-idempotent never sent", nonIdempotentClass, NotSent, true, false},
		{"non-idempotent after an error", nonIdempotentClass, Errored, false, true},
		{"non-idempotent after a reset", nonIdempotentClass, Broken, false, true},
		{"non-idempotent after a timeout", nonIdempotentClass, TimedOut, false, true},
		{"non-idempotent after an unknown ending", nonIdempotentClass, Ending(99), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), ready(1, 2, 3))
			submit(b, 0, 1, c.class)
			end(b, 30*ms, 1, 0, c.ends)
			if retried := len(h.sends) == 2; retried != c.retry {
				t.Fatalf("got retried %v, want %v", retried, c.retry)
			}
			if !c.retry && h.failed[1] != c.fails {
				t.Fatalf("got failed %v, want %v (refused: %v)", h.failed[1], c.fails, h.refused)
			}
			if c.retry && h.sends[1].to == h.sends[0].to {
				t.Fatal("the request was retried at the same server")
			}
		})
	}
}

func TestRefusedAfterMaxAttempts(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5))
	submit(b, 0, 1, nonIdempotentClass)
	for i := range 3 {
		end(b, time.Duration(i+1)*ms, 1, i, NoConnection)
	}
	if _, ok := h.refused[1]; len(h.sends) != 3 || !ok {
		t.Fatalf("got %d sends, refused %v; want 3 and a refusal, since the request never ran", len(h.sends), ok)
	}
}

func TestKeyedRetryStaysInDedupScope(t *testing.T) {
	list := []Endpoint{
		{ID: 1, State: Ready, Weight: 1, Zone: 0, Cell: 10}, {ID: 2, State: Ready, Weight: 1, Zone: 0, Cell: 11},
		{ID: 3, State: Ready, Weight: 1, Zone: 1, Cell: 12}, {ID: 4, State: Ready, Weight: 1, Zone: 1, Cell: 12},
	}
	byID := func(id ServerID) Endpoint { return list[id-1] }
	for id := range RequestID(8) { // vary the server of the first attempt by advancing the rotation
		for _, class := range []int{keyedZoneClass, keyedCellClass} {
			b, h := start(t, testConfig(), list)
			for warm := range id {
				submit(b, 0, 100+warm, idempotentClass)
				end(b, ms, 100+warm, 0, Served)
			}
			h.sends = nil
			submit(b, 2*ms, 1, class)
			first := byID(h.sends[0].to)
			end(b, 30*ms, 1, 0, Broken)
			if len(h.sends) < 2 {
				if class == keyedZoneClass || first.Zone == 1 {
					t.Fatalf("class %d: the attempt at server %d was not retried", class, first.ID)
				}
				continue // the only server of its cell
			}
			second := byID(h.sends[1].to)
			if second.Zone != first.Zone || (class == keyedCellClass && second.Cell != first.Cell) {
				t.Fatalf("class %d: the attempt at server %d was retried at %d, outside the deduplication scope", class, first.ID, second.ID)
			}
		}
	}
}

func TestDedupScopeFollowsTheAttemptThatMayHaveRun(t *testing.T) {
	list := []Endpoint{{ID: 1, State: Ready, Weight: 1, Zone: 0}, {ID: 2, State: Ready, Weight: 1, Zone: 1},
		{ID: 3, State: Ready, Weight: 1, Zone: 1}}
	b, h := start(t, testConfig(), list)
	for h.sentTo(1) == 0 || len(h.sends) == 0 || h.sends[len(h.sends)-1].to != 1 {
		id := RequestID(100 + len(h.sends))
		submit(b, 0, id, idempotentClass)
		end(b, ms, id, 0, Served)
	}
	b.List(ms, ListDelta, []Endpoint{{ID: 3, State: Removed}})
	h.sends = nil
	submit(b, 2*ms, 1, keyedZoneClass) // server 2, in zone 1, is next
	if h.sends[0].to != 2 {
		t.Fatalf("setup: first attempt at server %d, want 2", h.sends[0].to)
	}
	end(b, 3*ms, 1, 0, Rejected) // it never ran there, so it may be sent to another zone
	if len(h.sends) != 2 || h.sends[1].to != 1 {
		t.Fatalf("got sends %v, want a second attempt at server 1", h.sends)
	}
	end(b, 4*ms, 1, 1, Broken) // it may have run in zone 0, so it must not be sent to server 2
	if len(h.sends) != 2 {
		t.Fatalf("got sends %v, want none outside the deduplication scope", h.sends)
	}
}

func TestDedupWindowAndRefusal(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3))
	submit(b, 0, 1, keyedAllClass)
	end(b, 700*ms, 1, 0, Errored) // the deduplication window of 700 ms since its first send has passed
	if _, refused := h.refused[1]; len(h.sends) != 1 || !refused {
		t.Fatalf("got %d sends, refused %v; want 1 and a refusal, since all servers drop repeats", len(h.sends), refused)
	}
	submit(b, 800*ms, 2, keyedZoneClass)
	end(b, 1500*ms, 2, 0, Errored)
	if !h.failed[2] {
		t.Fatal("a request that may have run and is idempotent by key only within a zone was not failed")
	}
}
