package policy

import "testing"

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		b, h := start(t, testConfig(), ready(1, 2))
		b.List(10*ms, ListDelta, []Endpoint{{ID: 1, State: state, Weight: 1}})
		for id := range RequestID(10) {
			submit(b, 10*ms, id, idempotentClass)
			end(b, 20*ms, id, 0, Served)
		}
		if h.sentTo(1) != 0 || h.sentTo(2) != 10 {
			t.Fatalf("state %v: got %d requests at the server, want none", state, h.sentTo(1))
		}
	}
	b, h := start(t, testConfig(), ready(1, 2))
	b.List(10*ms, ListFull, ready(2)) // absent from a full list
	for id := range RequestID(4) {
		submit(b, 10*ms, id, idempotentClass)
	}
	if h.sentTo(1) != 0 {
		t.Fatal("a request was sent to a server that is absent from the full list")
	}
}
