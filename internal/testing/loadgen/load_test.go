package loadgen

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// target starts a simulated sidecar and returns its address.
func target(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	var served sync.WaitGroup
	served.Go(func() { s.Serve(ln) })
	t.Cleanup(func() { s.Close(); served.Wait() })
	return ln.Addr().String()
}

func plan(addr string) *Plan {
	return &Plan{
		Targets: []string{addr}, Rate: 200, Arrivals: "constant", Length: 500 * time.Millisecond, Timeout: 2 * time.Second,
		Classes: []Class{{"read", Idempotent, 1}, {"hold", IdempotentByKey, 1}, {"pay", NonIdempotent, 1}}, Tenants: []string{"acme"}, Keys: 10, Body: 100, MaxOpen: 1000,
	}
}

func TestRequestsFollowTheProtocol(t *testing.T) {
	var mu sync.Mutex
	ids, classes := make(map[string]bool), make(map[string]int)
	addr := target(t, func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		h := q.Header
		class, keyed := h.Get("Request-Class"), h.Get("Idempotency-Key") != ""
		want := map[string]struct {
			method string
			keyed  bool
			body   int
		}{"read": {"GET", false, 0}, "hold": {"POST", true, 100}, "pay": {"POST", false, 100}}[class]
		mu.Lock()
		defer mu.Unlock()
		if q.Method != want.method || keyed != want.keyed || len(body) != want.body || h.Get("Request-Timeout") != "2.000" || h.Get("Tenant") != "acme" || h.Get("Affinity-Key") == "" || ids[h.Get("Request-Id")] {
			t.Errorf("got an unexpected request: %s %v, %d bytes", q.Method, h, len(body))
		}
		ids[h.Get("Request-Id")] = true
		classes[class]++
	})
	r, err := Run(t.Context(), plan(addr), nil)
	if err != nil || r.Due != 100 || r.Outcomes["served"] != 100 || r.Unsent != 0 || r.Partial || r.Served.Count != 100 {
		t.Errorf("got %+v, %v, want 100 requests due and served", r, err)
	}
	if len(classes) != 3 || len(ids) != 100 {
		t.Errorf("got classes %v and %d ids, want 3 classes and 100 ids", classes, len(ids))
	}
}

// While a target stalls, requests that become due have to wait too, and their wait is part of their latency.
// A closed-loop load would only measure a single slow request.
func TestLatencyCountsFromWhenARequestWasDue(t *testing.T) {
	var once sync.Once
	stalled := make(chan struct{})
	addr := target(t, func(http.ResponseWriter, *http.Request) {
		once.Do(func() { time.AfterFunc(400*time.Millisecond, func() { close(stalled) }) })
		<-stalled
	})
	p := plan(addr)
	p.Length = 350 * time.Millisecond
	r, err := Run(t.Context(), p, nil)
	if err != nil || r.Outcomes["served"] != r.Due || r.Due != 70 {
		t.Fatalf("got %+v, %v, want 70 requests due and served", r, err)
	}
	// Due at a constant rate over 350 ms and served at 400 ms or later: half waited 225 ms or more.
	if r.Served.P50 < 200 || r.Served.Max < 390 {
		t.Errorf("got a median of %v ms and a maximum of %v ms, want at least 200 and 390", r.Served.P50, r.Served.Max)
	}
}

func TestOutcomesAreDistinguished(t *testing.T) {
	var n atomic.Int64
	addr := target(t, func(w http.ResponseWriter, q *http.Request) {
		switch n.Add(1) % 5 {
		case 0:
			w.Header().Set("Retry-After", "0.5")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.WriteHeader(http.StatusTooManyRequests)
		case 2:
			w.WriteHeader(http.StatusBadGateway)
		case 3:
			w.Header().Set("Content-Length", "10")
			io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	r, err := Run(t.Context(), plan(addr), nil)
	if err != nil || r.Outcomes["refused"] != 40 || r.Outcomes["failed"] != 20 || r.Outcomes["lost"] != 20 || r.Outcomes["served"] != 20 || len(r.Errors) != maxErrors {
		t.Errorf("got %+v, %v, want 40 refused, 20 failed, 20 lost and 20 served", r, err)
	}
	for text, want := range map[string]time.Duration{"0.25": 250 * time.Millisecond, "2": 2 * time.Second, "": 0, "soon": 0, "-1": 0, "NaN": 0, "1e300": maxRetryAfter} {
		if got := parseRetryAfter(text); got != want {
			t.Errorf("Retry-After %q: got %v, want %v", text, got, want)
		}
	}
}

// The number of open requests is bounded, and requests that are not sent for this reason are counted.
func TestOpenRequestsAreBounded(t *testing.T) {
	release := make(chan struct{})
	addr := target(t, func(http.ResponseWriter, *http.Request) { <-release })
	p := plan(addr)
	p.MaxOpen = 7
	seen := make(chan Result, 100)
	done := make(chan *Result)
	go func() {
		r, err := Run(t.Context(), p, func(r Result) { seen <- r })
		if err != nil {
			t.Error(err)
		}
		done <- r
	}()
	if r := <-seen; r.Due != 100 || r.Unsent != 93 {
		t.Errorf("progress: got %+v, want 100 requests due and 93 unsent", r)
	}
	close(release)
	if r := <-done; r.MaxOpen != 7 || r.Outcomes["served"] != 7 || r.Unsent != 93 {
		t.Errorf("result: got %+v, want 7 requests served and 93 unsent", r)
	}
}

func TestInterruptedLoadWaitsForResponses(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var n atomic.Int64
	addr := target(t, func(http.ResponseWriter, *http.Request) {
		if n.Add(1) == 20 {
			cancel()
		}
	})
	p := plan(addr)
	p.Length = time.Hour
	r, err := Run(ctx, p, nil)
	if err != nil || !r.Partial || r.Due < 20 || r.Outcomes["served"] != r.Due {
		t.Errorf("got %+v, %v, want a partial load of at least 20 requests, all served", r, err)
	}
}

func TestRecordedArrivals(t *testing.T) {
	times, err := ReadArrivals(strings.NewReader("0\n0.01\n\n0.01\n0.02\n"))
	if err != nil || len(times) != 4 || times[3] != 20*time.Millisecond {
		t.Fatalf("got %v, %v, want 4 times, the last of 20ms", times, err)
	}
	p := plan(target(t, func(http.ResponseWriter, *http.Request) {}))
	p.Arrivals, p.Recorded = "recorded", times
	if r, err := Run(t.Context(), p, nil); err != nil || r.Due != 4 {
		t.Errorf("got %+v, %v, want 4 requests due", r, err)
	}
	for _, text := range []string{"1\n0.5\n", "soon\n", "-1\n", "NaN\n", "1e9\n"} {
		if _, err := ReadArrivals(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), "line ") {
			t.Errorf("%q: got the error %v, want one with the line number", text, err)
		}
	}
}

func TestInvalidPlansAreAnError(t *testing.T) {
	for want, change := range map[string]func(*Plan){
		"targets":  func(p *Plan) { p.Targets = nil },
		"rate":     func(p *Plan) { p.Rate = -1 },
		"length":   func(p *Plan) { p.Length = 0 },
		"timeout":  func(p *Plan) { p.Timeout = 0 },
		"arrivals": func(p *Plan) { p.Arrivals = "sometimes" },
		"recorded": func(p *Plan) { p.Arrivals = "recorded" },
		"classes":  func(p *Plan) { p.Classes = nil },
		"effect":   func(p *Plan) { p.Classes[0].Idempotency = "odd" },
		"body":     func(p *Plan) { p.Body = maxBody + 1 },
		"open":     func(p *Plan) { p.MaxOpen = 0 },
	} {
		p := plan("127.0.0.1:1")
		change(p)
		if _, err := Run(t.Context(), p, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("invalid %s: got the error %v, want one that names it", want, err)
		}
	}
}
