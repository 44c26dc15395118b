package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// learnUsualTimeLeft submits enough requests for a Balancer to learn the usual time left of their class.
func learnUsualTimeLeft(b *Balancer, left time.Duration) {
	for i := range RequestID(20) {
		b.Request(0, Request{ID: 1000 + i, Class: idempotentClass, TimeLeft: left})
		b.Outcome(0, Outcome{ID: 1000 + i, Ending: Served, Settled: true})
	}
}

// If clients shorten all attempts but the last, their first attempts must not be classified as late, since
// late requests are shed before all others.
func TestShortenedFirstAttemptsAreNotLate(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	rng := rand.New(rand.NewPCG(3, 0))
	wrong, first, late := 0, 0, 0
	for id := range RequestID(400) {
		now := time.Duration(id) * 20 * ms
		left, last := 1200*ms, rng.IntN(4) == 0 // of the class's 3 s
		if last {
			left = 1800 * ms
		}
		b.Request(now, Request{ID: id, Class: idempotentClass, TimeLeft: left})
		end(b, now+5*ms, id, 0, Served)
		switch timeout := h.sends[len(h.sends)-1].timeout; {
		case id < 50:
		case last && timeout == left: // its objective has passed, so the timeout is the time left until its deadline
			late++
		case !last && timeout == time.Second:
			first++
		default:
			wrong++
		}
	}
	if wrong > 0 || first < 200 || late < 50 {
		t.Errorf("got %d first and %d last attempts recognized and %d others, want at least 200, at least 50 and none", first, late, wrong)
	}
}

// A client's later attempts must not use capacity when their responses have no value any more.
func TestLateRequestsAreNotQueued(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	learnUsualTimeLeft(b, 2800*ms) // of the class's 3 s
	h.sends = nil
	withTimeLeft := func(id RequestID, d time.Duration) {
		b.Request(0, Request{ID: id, Class: idempotentClass, TimeLeft: d})
	}
	withTimeLeft(1, 2800*ms)
	withTimeLeft(2, 2500*ms) // its client made its first attempt half a second ago
	withTimeLeft(3, 1500*ms) // its client made its first attempt 1.5 s ago: late, but responses are fast
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("got sends %v, want the timeout of the second limited to the remaining objective, and the third sent", h.sends)
	}
	submit(b, 0, 5, idempotentClass)
	submit(b, 0, 6, idempotentClass)
	submit(b, 0, 7, idempotentClass) // all slots of the tenant are in use
	withTimeLeft(4, 1500*ms)
	if _, refused := h.refused[4]; !refused {
		t.Fatal("a late request was queued")
	}
}

// Requests of clients that change to a shorter timeout must not be classified as late indefinitely.
func TestUsualTimeLeftMayChange(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	for id := range RequestID(400) {
		now := time.Duration(id) * 20 * ms
		left := 2800 * ms
		if id >= 20 {
			left = 2200 * ms
		}
		b.Request(now, Request{ID: id, Class: idempotentClass, TimeLeft: left})
		end(b, now+5*ms, id, 0, Served)
	}
	if last := h.sends[len(h.sends)-1]; last.timeout != time.Second {
		t.Fatalf("got a timeout of %v, want the full objective, as for a first attempt", last.timeout)
	}
}

func TestOnlyMarkedRetriesCountWhereClientsMark(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := start(t, cfg, ready(1, 2))
	learnUsualTimeLeft(b, 2800*ms)
	h.sends = nil
	b.Request(0, Request{ID: 1, Class: idempotentClass, TimeLeft: 2800 * ms})
	b.Request(0, Request{ID: 2, Class: idempotentClass, TimeLeft: 2500 * ms})
	b.Request(0, Request{ID: 3, Class: idempotentClass, TimeLeft: 2500 * ms, ClientRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("got sends %v, want a shorter timeout only for the marked retry", h.sends)
	}
}

func TestQueuedRequestIsRefusedBeforeItsObjective(t *testing.T) {
	b, h := start(t, testConfig(), nil) // no servers: queued, then refused before the objective
	submit(b, 0, 1, nonIdempotentClass)
	if len(h.refused) != 0 {
		t.Fatal("the request was refused immediately although a queue place is free")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if _, ok := h.refused[1]; !ok {
		t.Fatal("the request is still queued after its objective has passed")
	}
}

// If queued requests were sent with about the average latency left, half of them would time out at servers
// that have lost capacity.
func TestQueuedRequestIsRefusedWhenTooLittleTimeIsLeft(t *testing.T) {
	b, h := start(t, testConfig(), nil)
	submit(b, 0, 1, idempotentClass) // an objective of 1 s, an average latency of 125 ms
	b.Wake(740 * ms)
	if len(h.refused) != 0 {
		t.Fatal("the request was refused with more than twice the average latency left")
	}
	b.List(760*ms, ListFull, ready(1))
	if _, refused := h.refused[1]; !refused {
		t.Fatalf("got sends %v, want a refusal with less than twice the average latency left after a wait", h.sends)
	}
}

func TestTimeoutEndsWhenResponsesHaveNoValue(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].LateShare = 0.5
	b, h := start(t, cfg, ready(1, 2))
	submit(b, 0, 1, idempotentClass)
	submit(b, 0, 2, keyedAllClass)
	b.Request(0, Request{ID: 3, Class: keyedCellClass, TimeLeft: 300 * ms})
	if got := h.sends[0].timeout; got != time.Second {
		t.Errorf("got a timeout of %v, want the objective", got)
	}
	if got := h.sends[1].timeout; got != 2*time.Second {
		t.Errorf("got a timeout of %v although late responses have some value, want all the time left", got)
	}
	if got := h.sends[2].timeout; got != 300*ms {
		t.Errorf("got a timeout of %v, want the client's time left", got)
	}
}

// A request that arrives during a shutdown must be sent immediately and answered by the shutdown deadline.
func TestRequestIsAnsweredBeforeTheProcessEnds(t *testing.T) {
	h := newFakeHost()
	b, err := New(testConfig(), 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.List(0, ListFull, ready(1, 2, 3))
	b.Request(0, Request{ID: 1, TimeLeft: time.Second, ShutdownIn: 300 * ms})
	if len(h.sends) != 1 || h.sends[0].timeout > 300*ms {
		t.Fatalf("got sends %+v, want one with a timeout of at most 300 ms", h.sends)
	}
	for now := 10 * ms; now < 300*ms; now += 10 * ms {
		if b.Wake(now); len(h.refused)+len(h.failed) > 0 {
			t.Fatalf("got a response at %v, want none before 300 ms", now)
		}
	}
	if b.Wake(310 * ms); len(h.refused)+len(h.failed) != 1 {
		t.Errorf("got %d refused and %d failed at the shutdown deadline, want one response", len(h.refused), len(h.failed))
	}
}
