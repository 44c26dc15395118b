package upstream

import (
	"errors"
	"net/http"
	"testing"

	"barleywick/internal/sidecar/sidecartest"
	"barleywick/policy"
)

// A draining server gets nothing new from the moment on in which the sidecar is notified, not even an
// attempt that has chosen it already. What runs there ends, idle connections are closed, and it is used
// again if the drain is called off.
func TestDrainingServer(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, to := testPool(4), NewServer(u.Addr)
	defer p.Close()
	conns := connections(t, p, to, 3)
	p.Release(conns[0])
	p.Drain(to)
	sidecartest.Await(t, "the idle connection's close", u.Closed)
	ups := newTestTransport(p)
	req := &http.Request{Method: "GET", URL: sidecartest.MustURL("/"), Host: "x", Header: http.Header{"Request-Id": {"late"}}}
	if x, err := ups.exchange(t.Context(), sendPermit{writeCtx: t.Context()}, conns[1], req); !errors.Is(err, errServerDraining) || x.written() {
		t.Errorf("on a connection that was acquired before: got written %v, error %v", x.writtenAt, err)
	}
	if got, _ := runOneAttempt(t.Context(), p, to); got != policy.NotSent {
		t.Errorf("an attempt that had chosen it: got ending %v, want not sent", got)
	}
	p.Release(conns[2]) // what ran has ended
	if n, now := p.Counters(); now.Open != 0 || n.ServerDraining != 2 || len(u.Requests) > 0 {
		t.Errorf("got %d connections open, %d closed for the drain, %d requests; want 0, 2, 0", now.Open, n.ServerDraining, len(u.Requests))
	}
	p.Resume(to)
	if got, _ := runOneAttempt(t.Context(), p, to); got != policy.Served {
		t.Errorf("after the drain was called off: got ending %v, want served", got)
	}
}

// A drain ends the wait of an attempt for its connection.
func TestDrainDuringAHandshake(t *testing.T) {
	p, to, ending := startWaitingAttempt(t)
	p.Drain(to)
	if got := sidecartest.Await(t, "the ending", ending); got != policy.NotSent {
		t.Errorf("got ending %v, want not sent", got)
	}
}
