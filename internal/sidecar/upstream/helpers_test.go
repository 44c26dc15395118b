package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/policy"
)

// runOneAttempt carries out one attempt over a new transport.
func runOneAttempt(ctx context.Context, p *Pool, to *Server) (policy.Ending, *Response) {
	r := &Request{Method: "POST", URL: sidecartest.MustURL("/api"), Host: "service.internal", Header: http.Header{"Request-Id": {"x"}}, Body: []byte("{}")}
	return newTestTransport(p).Do(newTestAttempt(ctx, r, to, time.Time{}, time.Time{}))
}

// newTestTransport returns a transport that does not read load reports.
func newTestTransport(p *Pool) *Transport { return NewTransport(p, gate.New(), "/health/live", nil) }

// newTestAttempt returns an attempt with a timeout of an hour, the client deadline and the repeat
// deadline given; a zero time is no deadline.
func newTestAttempt(ctx context.Context, r *Request, to *Server, deadline, repeatDeadline time.Time) *Attempt {
	a := &Attempt{Request: r, Server: to, Deadline: deadline, RepeatDeadline: repeatDeadline}
	a.Begin(ctx, time.Now().Add(time.Hour))
	return a
}

// testPool returns a pool with all its limits set to limit.
func testPool(limit int) *Pool { return testPoolWithTimeouts(time.Second, 30*time.Second, limit) }

// testPoolWithTimeouts is testPool with other timeouts.
func testPoolWithTimeouts(dialTimeout, connIdle time.Duration, limit int) *Pool {
	return NewPool(dialTimeout, connIdle, config.UpstreamLimits{Total: limit, PerServer: limit, Handshakes: limit, HandshakesPerServer: limit}, 1)
}

// endAllQuarantines ends the quarantines of all connections at once.
func endAllQuarantines(p *Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.quarantined) > 0 {
		p.endQuarantineLocked(p.quarantined[0])
	}
}

// acquireConns acquires n connections.
func acquireConns(t testing.TB, p *Pool, to *Server, n int) (conns []*Conn) {
	t.Helper()
	for range n {
		c, err := p.Acquire(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	return conns
}

// openConns returns the number of open connections, including handshakes in progress.
func (p *Pool) openConns() int {
	_, now := p.Counters()
	return now.Open
}

// waitingCallers returns the number of callers waiting for a connection.
func waitingCallers(p *Pool) int { _, now := p.Counters(); return now.Waiting }
