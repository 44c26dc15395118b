package upstream

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"barleywick/internal/sidecar/sidecartest"
	"barleywick/policy"
)

// makeDuplicatesDetectable records as many distinct responses as the pool needs to detect duplicates.
func makeDuplicatesDetectable(p *Pool) {
	for i := range distinctRunNeeded {
		p.duplicates.observe(p.duplicates.hash([]byte(fmt.Sprint("other ", i))), new(recentResponses))
	}
}

// A duplicate response that arrives after the quarantine, ahead of the response to the next request, is
// dropped. If all responses are equal, none is dropped, as duplicates cannot be detected.
func TestDuplicateResponseIsNotTakenForNextResponse(t *testing.T) {
	for name, equal := range map[string]bool{"distinct responses": false, "equal responses": true} {
		t.Run(name, func(t *testing.T) {
			last := ""
			u := sidecartest.NewFakeServer(t, func(r sidecartest.ReceivedRequest) (string, bool) {
				first := last
				if last = sidecartest.OKResponse("done " + r.Header.Get("Request-Id")); equal {
					last = sidecartest.OKResponse("done")
				}
				if first == "" || equal {
					return last, false
				}
				return first + last, false
			})
			p, to := testPool(1), NewServer(u.Addr)
			defer p.Close()
			if !equal {
				makeDuplicatesDetectable(p)
			}
			for i := range distinctRunNeeded + 4 {
				r := &Request{ID: fmt.Sprint(i), Method: "POST", URL: sidecartest.MustURL("/"), Host: "x", Header: http.Header{"Request-Id": {fmt.Sprint(i)}}}
				ending, got := newTestTransport(p).Do(newTestAttempt(t.Context(), r, to, time.Now().Add(time.Hour), time.Time{}))
				want := fmt.Sprint("done ", i)
				if equal {
					want = "done"
				}
				if ending != policy.Served || string(got.Body) != want {
					t.Fatalf("request %d: got ending %v, response %+v; want served with its own response", i, ending, got)
				}
				endAllQuarantines(p)
			}
			if n, _ := p.Counters(); (n.DuplicateResponses > 0) == equal {
				t.Errorf("got %d duplicates dropped with all responses equal: %v; want some only if responses differ", n.DuplicateResponses, equal)
			}
		})
	}
}

// Quarantines are long after a surplus response, and for every server until duplicates can be detected.
func TestQuarantineIsLongWhileDuplicatesCannotBeFound(t *testing.T) {
	p := testPool(100)
	defer p.Close()
	c := &Conn{server: new(Server), idleSince: time.Now()}
	if got := p.quarantineTime(c); got != MaxQuarantine {
		t.Errorf("before duplicate responses can be detected: got %v, want %v", got, MaxQuarantine)
	}
	if makeDuplicatesDetectable(p); p.quarantineTime(c) != minQuarantine {
		t.Errorf("once duplicate responses can be detected: got %v, want %v", p.quarantineTime(c), minQuarantine)
	}
	if p.recordSurplus(c); p.quarantineTime(c) != MaxQuarantine {
		t.Errorf("after a surplus response: got %v, want %v", p.quarantineTime(c), MaxQuarantine)
	}
	if p.open = 100; p.quarantineTime(c) != minQuarantine {
		t.Errorf("with all connections used: got %v, want %v", p.quarantineTime(c), minQuarantine)
	}
}

// Surplus bytes after a response, even with a short delay, must not be taken for the next request's response.
func TestSurplusBytesAreNotTakenForNextResponse(t *testing.T) {
	for name, surplus := range map[string]string{"in the same write": sidecartest.OKResponse("stale"), "later": ""} {
		t.Run(name, func(t *testing.T) {
			u := sidecartest.NewFakeServer(t, func(r sidecartest.ReceivedRequest) (string, bool) {
				return sidecartest.OKResponse("good") + surplus, false
			})
			p, to := testPool(4), NewServer(u.Addr)
			for i := range 20 {
				ending, a := runOneAttempt(t.Context(), p, to)
				if ending != policy.Served || string(a.Body) != "good" {
					t.Fatalf("attempt %d: got ending %v, response %+v; want served with body good", i, ending, a)
				}
				if r := sidecartest.Await(t, "the request", u.Requests); surplus == "" {
					io.WriteString(r.Conn, sidecartest.OKResponse("stale"))
				}
			}
			if len(u.Accepted) != 20 {
				t.Errorf("got %d connections for 20 responses with surplus bytes, want 20", len(u.Accepted))
			}
		})
	}
}

// A second response may arrive some milliseconds after the first, so a connection is not reused before
// its quarantine has ended, whether another connection is idle or not.
func TestConnectionIsQuarantinedBeforeTheNextRequest(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	p, to := testPool(4), NewServer(u.Addr)
	get := func() *Conn {
		t.Helper()
		c, err := p.Acquire(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	first, second := get(), get()
	p.Release(first)
	endAllQuarantines(p)
	p.Release(second)
	if c := get(); c != first {
		t.Error("got a quarantined connection although another was idle")
	}
	if c := get(); c == second {
		t.Errorf("got a quarantined connection %v after its last response", time.Since(c.idleSince))
	}
	sidecartest.Eventually(t, "the quarantine is over", func() bool { _, now := p.Counters(); return now.Quarantined == 0 })
	if c := get(); c != second || time.Since(c.idleSince) < minQuarantine {
		t.Errorf("got another connection, or one %v after its last response", time.Since(c.idleSince))
	}
}
