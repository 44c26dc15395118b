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

// makeDuplicatesConclusive lets a pool see as many different answers as it takes to tell them apart.
func makeDuplicatesConclusive(p *Pool) {
	for i := range distinctRunNeeded {
		p.duplicates.observe(p.duplicates.hash([]byte(fmt.Sprint("other ", i))), new(recentResponses))
	}
}

// A second answer that comes after the rest, in front of the next request's, is that request's to
// nobody; where all servers answer alike, equality says nothing.
func TestDuplicateResponseIsNotTheNextRequests(t *testing.T) {
	for name, alike := range map[string]bool{"answers differ": false, "answers are alike": true} {
		t.Run(name, func(t *testing.T) {
			last := ""
			u := sidecartest.NewFakeServer(t, func(r sidecartest.Received) (string, bool) {
				first := last
				if last = sidecartest.OKResponse("done " + r.Header.Get("Request-Id")); alike {
					last = sidecartest.OKResponse("done")
				}
				if first == "" || alike {
					return last, false
				}
				return first + last, false
			})
			p, to := testPool(1), NewServer(u.Addr)
			defer p.Close()
			if !alike {
				makeDuplicatesConclusive(p)
			}
			for i := range distinctRunNeeded + 4 {
				r := &Request{ID: fmt.Sprint(i), Method: "POST", URL: sidecartest.MustURL("/"), Host: "x", Header: http.Header{"Request-Id": {fmt.Sprint(i)}}}
				ending, got := newTestTransport(p).Do(newTestAttempt(t.Context(), r, to, time.Now().Add(time.Hour), time.Time{}))
				want := fmt.Sprint("done ", i)
				if alike {
					want = "done"
				}
				if ending != policy.Served || string(got.Body) != want {
					t.Fatalf("request %d: ending %v, answer %+v", i, ending, got)
				}
				endAllQuarantines(p)
			}
			if n, _ := p.Counters(); (n.DuplicateResponses > 0) == alike {
				t.Errorf("%d answers were passed over", n.DuplicateResponses)
			}
		})
	}
}

// A server that has sent an excess gets long rests, and so does any until answers are told apart.
func TestQuarantineIsLongWhileDuplicatesCannotBeFound(t *testing.T) {
	p := testPool(100)
	defer p.Close()
	c := &Conn{server: new(Server), idleSince: time.Now()}
	if got := p.quarantineTime(c); got != MaxQuarantine {
		t.Errorf("before answers are told apart: %v", got)
	}
	if makeDuplicatesConclusive(p); p.quarantineTime(c) != minQuarantine {
		t.Errorf("once they are: %v", p.quarantineTime(c))
	}
	if p.noteSurplus(c); p.quarantineTime(c) != MaxQuarantine {
		t.Errorf("after an excess: %v", p.quarantineTime(c))
	}
	if p.open = 100; p.quarantineTime(c) != minQuarantine {
		t.Errorf("with no connection to spare: %v", p.quarantineTime(c))
	}
}

// What comes behind a good answer and belongs to no request, even a little
// later, must not be taken for the next one's answer.
func TestSurplusBytesAreNoResponse(t *testing.T) {
	for name, behind := range map[string]string{"in the same write": sidecartest.OKResponse("stale"), "later": ""} {
		t.Run(name, func(t *testing.T) {
			u := sidecartest.NewFakeServer(t, func(r sidecartest.Received) (string, bool) { return sidecartest.OKResponse("good") + behind, false })
			p, to := testPool(4), NewServer(u.Addr)
			for i := range 20 {
				ending, a := runOneAttempt(t.Context(), p, to)
				if ending != policy.Served || string(a.Body) != "good" {
					t.Fatalf("attempt %d: ending %v, answer %+v", i, ending, a)
				}
				if r := sidecartest.Await(t, "the request", u.Requests); behind == "" {
					io.WriteString(r.Conn, sidecartest.OKResponse("stale"))
				}
			}
			if len(u.Accepted) != 20 {
				t.Errorf("%d connections for 20 answers with an excess, want one each", len(u.Accepted))
			}
		})
	}
}

// A second answer may come some milliseconds behind the first. A connection that has not rested for so
// long is not used while there is one that has, nor before it has.
func TestConnectionIsQuarantinedBeforeTheNextRequest(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
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
		t.Error("a connection is used that had its answer a moment ago, beside one that has rested")
	}
	if c := get(); c == second {
		t.Errorf("a connection is used %v after its last answer", time.Since(c.idleSince))
	}
	sidecartest.Eventually(t, "the rest is over", func() bool { _, now := p.Counters(); return now.Quarantined == 0 })
	if c := get(); c != second || time.Since(c.idleSince) < minQuarantine {
		t.Errorf("a connection is used %v after its last answer", time.Since(c.idleSince))
	}
}
