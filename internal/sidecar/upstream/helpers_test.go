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

// runOneAttempt carries out an attempt over a transport of its own.
func runOneAttempt(ctx context.Context, p *Pool, to *Server) (policy.Ending, *Response) {
	r := &Request{Method: "POST", URL: sidecartest.MustURL("/api"), Host: "service.internal", Header: http.Header{"Request-Id": {"x"}}, Body: []byte("{}")}
	return newTestTransport(p).Do(newTestAttempt(ctx, r, to, time.Time{}, time.Time{}))
}

// newTestTransport returns a transport without load reports.
func newTestTransport(p *Pool) *Transport { return NewTransport(p, gate.New(), "/health/live", nil) }

// newTestAttempt returns an attempt that has an hour, unless its client's deadline or the one for a
// repeat is earlier; zero times are none.
func newTestAttempt(ctx context.Context, r *Request, to *Server, deadline, repeatDeadline time.Time) *Attempt {
	a := &Attempt{Request: r, Server: to, Deadline: deadline, RepeatDeadline: repeatDeadline}
	a.Begin(ctx, time.Now().Add(time.Hour))
	return a
}

// testPool returns a pool whose limits are all the same.
func testPool(most int) *Pool { return poolOf(time.Second, 30*time.Second, most) }

// poolOf returns such a pool with its own times.
func poolOf(dialTimeout, connIdle time.Duration, most int) *Pool {
	return NewPool(dialTimeout, connIdle, config.UpstreamLimits{Total: most, PerServer: most, Handshakes: most, HandshakesPerServer: most}, 1)
}

// endAllQuarantines releases all quarantined connections, as if their time were over.
func endAllQuarantines(p *Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.quarantined) > 0 {
		p.endQuarantineLocked(p.quarantined[0])
	}
}

// connections acquires n connections.
func connections(t testing.TB, p *Pool, to *Server, n int) (conns []*Conn) {
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

// opened returns how many connections are open, handshakes in progress included.
func (p *Pool) opened() int {
	_, now := p.Counters()
	return now.Open
}

// waiters returns how many callers wait for a connection.
func waiters(p *Pool) int { _, now := p.Counters(); return now.Waiting }
