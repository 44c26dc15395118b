package upstream

import (
	"errors"
	"net/http"
	"testing"

	"barleywick/internal/sidecar/sidecartest"
	"barleywick/policy"
)

// A draining server gets no new requests once the sidecar is notified of the drain, not even those of
// attempts that have already chosen it. Requests in flight complete, idle connections are closed, and the
// server is used again if the drain is cancelled.
func TestDrainingServer(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("")))
	p, to := testPool(4), NewServer(u.Addr)
	defer p.Close()
	conns := acquireConns(t, p, to, 3)
	p.Release(conns[0])
	p.Drain(to)
	sidecartest.Await(t, "the idle connection's close", u.Closed)
	ups := newTestTransport(p)
	req := &http.Request{Method: "GET", URL: sidecartest.MustURL("/"), Host: "x", Header: http.Header{"Request-Id": {"late"}}}
	if x, err := ups.exchange(t.Context(), sendPermit{writeCtx: t.Context()}, conns[1], req); !errors.Is(err, errServerDraining) || x.written() {
		t.Errorf("on a connection acquired before the drain: got written %v, error %v; want an unwritten request and errServerDraining", x.writtenAt, err)
	}
	if got, _ := runOneAttempt(t.Context(), p, to); got != policy.NotSent {
		t.Errorf("attempt after the drain began: got ending %v, want not sent", got)
	}
	p.Release(conns[2]) // the request in flight has completed
	if n, now := p.Counters(); now.Open != 0 || n.ServerDraining != 2 || len(u.Requests) > 0 {
		t.Errorf("got %d connections open, %d closed for the drain, %d requests; want 0, 2, 0", now.Open, n.ServerDraining, len(u.Requests))
	}
	p.Resume(to)
	if got, _ := runOneAttempt(t.Context(), p, to); got != policy.Served {
		t.Errorf("after the drain was cancelled: got ending %v, want served", got)
	}
}

// Attempts waiting for a connection fail at once when their server drains.
func TestDrainFailsAttemptsWaitingForAConnection(t *testing.T) {
	p, to, ending := startWaitingAttempt(t)
	p.Drain(to)
	if got := sidecartest.Await(t, "the ending", ending); got != policy.NotSent {
		t.Errorf("got ending %v, want not sent", got)
	}
}
