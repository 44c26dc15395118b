package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"barleywick/internal/sidecar/sidecartest"
	"barleywick/policy"
)

// A repeat is not sent if its deadline has passed or passes while it waits for a connection.
func TestRepeatIsNotSentAfterItsDeadline(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	p, to := testPool(1), NewServer(u.Addr)
	ups := newTestTransport(p)
	inUse := acquireConns(t, p, to, 1)[0]
	r := &Request{Method: "POST", URL: sidecartest.MustURL("/api"), Host: "x", Header: map[string][]string{"Request-Id": {"x"}}}
	a := newTestAttempt(t.Context(), r, to, time.Time{}, time.Now().Add(20*time.Millisecond))
	if got, _ := ups.Do(a); got != policy.NotSent {
		t.Errorf("waiting for a connection: got ending %v, want not sent", got)
	}
	p.Release(inUse)
	a = newTestAttempt(t.Context(), r, to, time.Time{}, time.Now().Add(-time.Millisecond))
	if got, _ := ups.Do(a); got != policy.NotSent {
		t.Errorf("with a connection: got ending %v, want not sent", got)
	}
	a = newTestAttempt(t.Context(), r, to, time.Time{}, time.Now().Add(time.Hour))
	if got, _ := ups.Do(a); got != policy.Served {
		t.Errorf("before the deadline: got ending %v, want served", got)
	}
	if len(u.Requests) != 1 {
		t.Errorf("got %d requests, want 1", len(u.Requests))
	}
}

// The deadline of a repeat is checked again after a connection has been acquired.
func TestRepeatDeadlineIsCheckedBeforeWrite(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	p, to := testPool(1), NewServer(u.Addr)
	ups := newTestTransport(p)
	c := acquireConns(t, p, to, 1)[0]
	r := &Request{Method: "POST", URL: sidecartest.MustURL("/api"), Host: "x", Header: map[string][]string{"Request-Id": {"x"}}}
	a := newTestAttempt(t.Context(), r, to, time.Time{}, time.Now().Add(-time.Millisecond))
	if x, err := ups.exchange(a.ctx, a.permit(), c, r.outgoing(a.ctx)); err == nil || x.written() {
		t.Errorf("got written %v, error %v; want an error before the write", x.writtenAt, err)
	}
	if len(u.Requests) > 0 {
		t.Error("the request was written after its repeat deadline")
	}
}

// A response without a length is completed by an orderly close of its connection, but not by a reset.
func TestResetDoesNotCompleteAResponse(t *testing.T) {
	u := sidecartest.NewFakeServer(t, func(r sidecartest.ReceivedRequest) (string, bool) {
		io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\n\r\nhoney")
		r.Conn.(*net.TCPConn).SetLinger(0) // makes Close send a reset
		return "", true
	})
	if got, a := runOneAttempt(t.Context(), testPool(2), NewServer(u.Addr)); got != policy.Broken {
		t.Errorf("got ending %v, response %+v, want broken", got, a)
	}
}

// The transport does not retry on its own, not even an idempotent request whose reused connection breaks.
func TestTransportDoesNotRetry(t *testing.T) {
	u := sidecartest.NewFakeServer(t, func(r sidecartest.ReceivedRequest) (string, bool) {
		if r.Header.Get("Request-Id") == "breaks" {
			return "", true
		}
		return sidecartest.OKResponse("ok"), false
	})
	p, to := testPool(4), NewServer(u.Addr)
	try := func(id string) policy.Ending {
		r := &Request{Method: "GET", URL: sidecartest.MustURL("/"), Host: "x", Header: http.Header{"Request-Id": {id}, "Idempotency-Key": {"k"}}}
		ending, _ := newTestTransport(p).Do(newTestAttempt(t.Context(), r, to, time.Time{}, time.Time{}))
		return ending
	}
	if got := try("first"); got != policy.Served {
		t.Fatalf("first: got ending %v, want served", got)
	}
	endAllQuarantines(p)
	if got := try("breaks"); got != policy.Broken {
		t.Errorf("on a breaking connection: got ending %v, want broken", got)
	}
	if len(u.Requests) != 2 || len(u.Accepted) != 1 {
		t.Errorf("got %d requests on %d connections, want 2 on 1", len(u.Requests), len(u.Accepted))
	}
}
