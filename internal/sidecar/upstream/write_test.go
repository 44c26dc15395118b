package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/sidecar/sidecartest"
	"barleywick/policy"
)

// A write that is incomplete when its permit ends is cut off, as a server does not run an incomplete
// request. This also applies to classes whose attempts must not be cancelled.
func TestLongWriteIsCutOffWhenPermitEnds(t *testing.T) {
	ln := sidecartest.ListenLoopback(t)
	firstByteRead := make(chan net.Conn, 1)
	go func() { // the server reads the first byte only
		c, err := ln.Accept()
		if err != nil {
			return
		}
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		if _, err := io.ReadFull(c, make([]byte, 1)); err == nil {
			firstByteRead <- c
		}
	}()
	p, to := testPool(1), NewServer(ln.Addr().String())
	defer p.Close()
	c := acquireConns(t, p, to, 1)[0]
	c.Conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	p.Release(c)
	endAllQuarantines(p)
	r := &Request{ID: "long", Method: "POST", URL: sidecartest.MustURL("/"), Host: "x", Header: http.Header{}, Body: make([]byte, 16<<20)}
	a := newTestAttempt(t.Context(), r, to, time.Now().Add(time.Hour), time.Time{})
	ending := make(chan policy.Ending, 1)
	go func() { e, _ := newTestTransport(p).Do(a); ending <- e }()
	defer sidecartest.Await(t, "the first byte", firstByteRead).Close()
	a.CancelWrite() // as if the client had disconnected during the write; the attempt is not cancelled
	if got := sidecartest.Await(t, "the ending", ending); got != policy.NotSent {
		t.Errorf("got ending %v, want not sent", got)
	}
}

// Bytes that the kernel has not sent when an attempt is cancelled must never reach the server.
func TestUnsentBytesAreDiscardedOnClose(t *testing.T) {
	const body = 60 << 10 // fits into the sender's buffer, but not into the receiver's
	listen := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	clientSide, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverSide, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer serverSide.Close()
	c := &Conn{Conn: clientSide, server: new(Server)}
	if n, err := c.Write(make([]byte, body)); n != body || err != nil || c.unsentBytes() == 0 {
		t.Fatalf("got %d bytes written, %v, %d unsent; want all written and some unsent", n, err, c.unsentBytes())
	}
	c.Close()
	serverSide.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if n, err := io.Copy(io.Discard, serverSide); n >= body || err == nil {
		t.Errorf("received %d bytes, error %v; want fewer than all bytes and a reset", n, err)
	}
}

// The Request-Timeout sent to a server is shorter than the time left until the client's deadline.
func TestRequestTimeoutIsShorterThanTimeLeft(t *testing.T) {
	for _, left := range []time.Duration{time.Second, 40 * time.Millisecond} {
		ctx, cancel := context.WithTimeout(t.Context(), left)
		r := &Request{Method: "GET", URL: sidecartest.MustURL("/"), Header: http.Header{}}
		sent, err := strconv.ParseFloat(r.outgoing(ctx).Header.Get("Request-Timeout"), 64)
		cancel()
		if most := left - min(timeoutMargin, left/4) + time.Millisecond; err != nil || sent <= 0 || sent > most.Seconds() {
			t.Errorf("%v left: got Request-Timeout %v s, error %v; want a positive one that is shorter by the margin", left, sent, err)
		}
	}
}
