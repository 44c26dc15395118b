package policy

import (
	"testing"
	"time"
)

func TestInvalidEventsAreIgnored(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	b.Request(0, Request{ID: 1, Class: 99, TimeLeft: time.Second})
	b.Request(0, Request{ID: 2, Class: -1, TimeLeft: time.Second})
	b.Request(0, Request{ID: 3, Tenant: 7, TimeLeft: time.Second})
	b.Request(0, Request{ID: 4, TimeLeft: 0})
	b.Request(0, Request{ID: 5, TimeLeft: -time.Second})
	if len(h.refused) != 5 || len(h.sends) != 0 {
		t.Fatalf("got %d refused and %d sent, want 5 and 0", len(h.refused), len(h.sends))
	}
	submit(b, 0, 6, idempotentClass)
	submit(b, 0, 6, idempotentClass) // the id is in use
	end(b, 0, 6, 3, Served)
	end(b, 0, 6, -1, Served)
	end(b, 0, 77, 0, Served)
	b.ClientGone(0, 77)
	b.StreamStarted(77)
	if len(h.sends) != 1 || b.SlotsFree(0) != 5 {
		t.Fatalf("got %d sends and %d free slots, want 1 and 5", len(h.sends), b.SlotsFree(0))
	}
	end(b, ms, 6, 0, Served)
	end(b, ms, 6, 0, Served) // twice
	if b.SlotsFree(0) != 6 {
		t.Fatalf("got %d free slots after a repeated outcome, want 6", b.SlotsFree(0))
	}
}

func TestRequestIsDroppedWhenItsClientDisconnects(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	submit(b, 0, 1, idempotentClass)
	b.ClientGone(ms, 1)
	if len(h.cancelled) != 1 || b.SlotsFree(0) != 5 {
		t.Fatal("the attempt was not cancelled, or its slot was released before it ended")
	}
	end(b, 2*ms, 1, 0, Cancelled)
	if len(h.refused)+len(h.failed) != 0 || len(b.requests) != 0 || b.SlotsFree(0) != 6 {
		t.Fatalf("got %d responses and %d requests kept, want none", len(h.refused)+len(h.failed), len(b.requests))
	}
}

func TestStartedStreamIsNotAnsweredCancelledOrRetried(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	submit(b, 0, 1, idempotentClass)
	b.StreamStarted(1)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if len(h.refused)+len(h.failed)+len(h.cancelled) != 0 || len(h.sends) != 1 {
		t.Fatal("a request whose response is being streamed was answered, cancelled or retried")
	}
	b.Outcome(11*time.Second, Outcome{ID: 1, Ending: Broken, Settled: true})
	if len(b.requests) != 0 {
		t.Fatal("the request is still kept after its stream ended")
	}
}

func TestMemoryStaysBounded(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for id := range RequestID(20000) {
		now := time.Duration(id) * 5 * ms
		submit(b, now, id, idempotentClass)
		switch id % 3 {
		case 0:
			end(b, now+ms, id, 0, Served)
		case 1:
			b.ClientGone(now+ms, id)
			end(b, now+2*ms, id, 0, Cancelled)
		case 2:
			end(b, now+ms, id, 0, Broken)
			end(b, now+2*ms, id, 1, Served)
		}
		if id%100 == 0 {
			b.List(now, ListDelta, []Endpoint{{ID: ServerID(1000 + id), State: Ready, Weight: 1}})
			b.List(now, ListDelta, []Endpoint{{ID: ServerID(1000 + id), State: Removed}})
		}
		b.Wake(now + 3*ms)
	}
	b.Wake(time.Hour)
	if len(b.requests) > 3 || len(b.openRequests) > 3 || len(b.endpoints.servers) != 2 || cap(b.openRequests) > 100 {
		t.Fatalf("got %d requests, %d open (capacity %d), %d servers; want at most 3, 3 (100) and 2",
			len(b.requests), len(b.openRequests), cap(b.openRequests), len(b.endpoints.servers))
	}
}
