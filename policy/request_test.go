package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// firstAttempts lets a Balancer learn the time left that most requests have.
func firstAttempts(b *Balancer, left time.Duration) {
	for i := range RequestID(20) {
		b.Request(0, Request{ID: 1000 + i, Class: idempotentClass, TimeLeft: left})
		b.Outcome(0, Outcome{ID: 1000 + i, Ending: Served, Settled: true})
	}
}

// If clients shorten all attempts but the last, the first attempts must not count as late and be shed
// before all others.
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
		case last && timeout == left: // its objective has passed: what is left of its deadline counts
			late++
		case !last && timeout == time.Second:
			first++
		default:
			wrong++
		}
	}
	if wrong > 0 || first < 200 || late < 50 {
		t.Errorf("got %d first and %d last attempts recognized and %d not, want all", first, late, wrong)
	}
}

// A client's later attempts must not be served when their answers earn nothing any more.
func TestLateRequestsYield(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	firstAttempts(b, 2800*ms) // of the class's 3 s
	h.sends = nil
	withTimeLeft := func(id RequestID, d time.Duration) {
		b.Request(0, Request{ID: id, Class: idempotentClass, TimeLeft: d})
	}
	withTimeLeft(1, 2800*ms)
	withTimeLeft(2, 2500*ms) // its client began half a second ago
	withTimeLeft(3, 1500*ms) // its client began 1.5 s ago: late, but answers are quick
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("sends %v, want the second bounded by the rest of its objective, and the third sent", h.sends)
	}
	submit(b, 0, 5, idempotentClass)
	submit(b, 0, 6, idempotentClass)
	submit(b, 0, 7, idempotentClass) // all slots of the tenant are used
	withTimeLeft(4, 1500*ms)
	if _, refused := h.refused[4]; !refused {
		t.Fatal("a late request was queued")
	}
}

// Clients that change to a shorter timeout must not count as late for good.
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
		t.Fatalf("got a timeout of %v, want the whole objective of a first attempt", last.timeout)
	}
}

func TestOnlyMarkedRetriesCountWhereClientsMark(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := start(t, cfg, ready(1, 2))
	firstAttempts(b, 2800*ms)
	h.sends = nil
	b.Request(0, Request{ID: 1, Class: idempotentClass, TimeLeft: 2800 * ms})
	b.Request(0, Request{ID: 2, Class: idempotentClass, TimeLeft: 2500 * ms})
	b.Request(0, Request{ID: 3, Class: idempotentClass, TimeLeft: 2500 * ms, ClientRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("sends %v, want only the marked one shortened", h.sends)
	}
}

func TestQueuedRequestIsRefusedBeforeItsObjective(t *testing.T) {
	b, h := start(t, testConfig(), nil) // no server at all: queued, then refused in time
	submit(b, 0, 1, nonIdempotentClass)
	if len(h.refused) != 0 {
		t.Fatal("refused at once although the queue has a place")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if _, ok := h.refused[1]; !ok {
		t.Fatal("still queued when its objective had passed")
	}
}

// Of requests that are sent after a wait with about the usual time left, every other one would time
// out at servers that have lost capacity.
func TestWaitEndsWhileAnAnswerCanStillCome(t *testing.T) {
	b, h := start(t, testConfig(), nil)
	submit(b, 0, 1, idempotentClass) // an objective of 1 s, answers usually take 125 ms
	b.Wake(740 * ms)
	if len(h.refused) != 0 {
		t.Fatal("refused with more than twice the usual time left")
	}
	b.List(760*ms, ListFull, ready(1))
	if _, refused := h.refused[1]; !refused {
		t.Fatalf("sends %v, want a refusal with less than twice the usual time left after a wait", h.sends)
	}
}

func TestTimeoutEndsWhereAnswersEarnNothing(t *testing.T) {
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
		t.Errorf("got a timeout of %v if late answers earn something, want all the time left", got)
	}
	if got := h.sends[2].timeout; got != 300*ms {
		t.Errorf("got a timeout of %v, want the client's time left", got)
	}
}

// A request that arrives during a shutdown is sent at once and answered before the process has to be
// done.
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
		t.Fatalf("sends %+v, want one with a timeout of at most 300 ms", h.sends)
	}
	for now := 10 * ms; now < 300*ms; now += 10 * ms {
		if b.Wake(now); len(h.refused)+len(h.failed) > 0 {
			t.Fatalf("answered at %v, want not before 300 ms", now)
		}
	}
	if b.Wake(310 * ms); len(h.refused)+len(h.failed) != 1 {
		t.Errorf("got %d refused and %d failed when the process has to be done, want one answer", len(h.refused), len(h.failed))
	}
}
