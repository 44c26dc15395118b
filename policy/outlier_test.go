package policy

import (
	"testing"
	"time"
)

// A hung server that stayed in the rotation would occupy slots until each request times out.
func TestServerThatTimesOutBecomesAnOutlier(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3))
	now := time.Duration(0)
	for id := range RequestID(300) {
		submit(b, now, id, idempotentClass)
		if last := h.sends[len(h.sends)-1]; last.id == id && last.to != 1 {
			end(b, now+5*ms, id, 0, Served)
		}
		now += 10 * ms
		b.Wake(now)
		for i := range h.sends { // server 1 never responds: its attempts time out after the objective
			if s := h.sends[i]; s.to == 1 && b.requests[s.id] != nil && b.requests[s.id].attempts[0].sentAt+s.timeout <= now {
				end(b, now, s.id, 0, TimedOut)
			}
		}
	}
	if n := h.sentTo(1); n > 60 {
		t.Fatalf("got %d of 300 requests at a server that never responds, want at most 60", n)
	}
	if b.Counters().Trials == 0 {
		t.Fatalf("got counters %+v, want recovery attempts", b.Counters())
	}
}

// A server that fails every request must not stay in the rotation.
func TestServerThatOnlyFailsBecomesAnOutlier(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	for id := range RequestID(100) {
		now := time.Duration(id) * 20 * ms
		submit(b, now, id, nonIdempotentClass) // never retried after an error
		end(b, now+5*ms, id, 0, map[bool]Ending{true: Errored, false: Served}[h.sends[len(h.sends)-1].to == 1])
	}
	if n := h.sentTo(1); n < 3 || n > 5 {
		t.Fatalf("got %d of 100 requests at a server that fails every request, want 3 to 5", n)
	}
}

// A server that has recovered must not stay excluded.
func TestOutlierRecovers(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	id, now := RequestID(0), time.Duration(0)
	for ; h.sentTo(1) == 0; id++ {
		submit(b, now, id, idempotentClass)
		end(b, now, id, 0, map[bool]Ending{true: NoConnection, false: Served}[h.sends[len(h.sends)-1].to == 1])
		end(b, now, id, 1, Served)
	}
	if !b.endpoints.find(1).health.outlier {
		t.Fatal("the server is not an outlier although no connection could be opened")
	}
	before := h.sentTo(1)
	for ; now < 3*time.Second; id++ {
		now += 20 * ms
		b.Wake(now)
		submit(b, now, id, idempotentClass)
		end(b, now+5*ms, id, 0, Served)
	}
	if b.endpoints.find(1).health.outlier || h.sentTo(1) < before+10 {
		t.Fatalf("got outlier %v and %d sends since, want false and at least 10", b.endpoints.find(1).health.outlier, h.sentTo(1)-before)
	}
}

func TestRequestsAreSentWhileAllServersAreOutliers(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	submit(b, 0, 1, idempotentClass)
	end(b, 0, 1, 0, NoConnection)
	end(b, 0, 1, 1, NoConnection)
	if b.endpoints.healthyWeight != 0 {
		t.Fatal("setup: a server is not an outlier")
	}
	n := len(h.sends)
	submit(b, ms, 2, nonIdempotentClass)
	if len(h.sends) != n+1 {
		t.Fatal("no request was sent while all servers are outliers")
	}
}

// Occasional broken connections must not make a server an outlier, since a few resets at each server would
// leave too few servers. A server that breaks every connection must become one.
func TestOneBrokenConnectionDoesNotMakeAnOutlier(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	submit(b, 0, 1, nonIdempotentClass)
	end(b, ms, 1, 0, Broken)
	if b.endpoints.find(1).health.outlier {
		t.Error("the server is an outlier after one broken connection")
	}
	submit(b, 2*ms, 2, idempotentClass)
	end(b, 3*ms, 2, 0, Served)
	submit(b, 4*ms, 3, nonIdempotentClass)
	end(b, 5*ms, 3, 0, Broken)
	if b.endpoints.find(1).health.outlier {
		t.Error("the server is an outlier although it served a request between two broken connections")
	}
	submit(b, 6*ms, 4, nonIdempotentClass)
	end(b, 7*ms, 4, 0, Broken)
	if !b.endpoints.find(1).health.outlier || len(h.sends) != 4 {
		t.Errorf("after two consecutive broken connections: got outlier %v and %d sends, want true and 4", b.endpoints.find(1).health.outlier, len(h.sends))
	}
}

// Connections that break together must count as one failure, regardless of the number of attempts in flight.
func TestConnectionsBrokenTogetherCountOnce(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	for id := range RequestID(3) {
		submit(b, 0, id, nonIdempotentClass)
	}
	for id := range RequestID(3) {
		end(b, ms+time.Duration(id)*100*time.Microsecond, id, 0, Broken)
	}
	if len(h.sends) != 3 || b.endpoints.find(1).health.outlier {
		t.Errorf("got %d attempts in flight when the connections broke and outlier %v, want 3 and false", len(h.sends), b.endpoints.find(1).health.outlier)
	}
	submit(b, 2*ms, 9, nonIdempotentClass)
	end(b, 3*ms, 9, 0, Broken)
	if !b.endpoints.find(1).health.outlier {
		t.Error("the server is not an outlier although the next connection broke as well")
	}
}
