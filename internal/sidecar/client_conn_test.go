package sidecar

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// A partial request on an evicted connection is refused before the close, whether the close lingers or not.
func TestPartialRequestIsRefusedBeforeTheClose(t *testing.T) {
	for _, immediately := range []bool{false, true} {
		peer, c := newConnPair(t)
		io.WriteString(peer, "POST /api HTT")
		if _, err := c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		state, refusalPending := c.closeIdle(true)
		if state != connClosed || !refusalPending {
			t.Fatalf("closeIdle: got state %d, refusal pending %v; want closed and true", state, refusalPending)
		}
		go c.refusePartial(immediately)
		resp, err := http.ReadResponse(bufio.NewReader(peer), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("got response %+v, error %v; want 503 and Connection: close", resp, err)
		}
		peer.Close()
		c.Close() // as net/http does; Close waits for the refusal
	}
}

// If net/http closes a connection after a request has been read, a response is written before the close.
func TestRequestReadIsAnsweredBeforeTheClose(t *testing.T) {
	for want, inProgress := range map[int]bool{http.StatusServiceUnavailable: false, http.StatusBadGateway: true} {
		peer, c := newConnPair(t)
		io.WriteString(peer, "POST /api HTT")
		if _, err := c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		if inProgress {
			c.beginRequest()
		}
		go c.Close()
		resp, err := http.ReadResponse(bufio.NewReader(peer), nil)
		if err != nil || resp.StatusCode != want {
			t.Errorf("in progress %v: got response %+v, error %v; want %d", inProgress, resp, err, want)
		}
		peer.Close()
	}
}

// The arrival time of a request that waited in the kernel's receive buffer is the accept; if the read had
// to wait for the request, it is the end of the read.
func TestRequestArrivalTime(t *testing.T) {
	const delay = 80 * time.Millisecond
	peer, c := newConnPair(t)
	io.WriteString(peer, "G")
	time.Sleep(delay)
	read := func() {
		t.Helper()
		if _, err := c.Read(make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
	}
	if read(); c.requestArrivedAt().Sub(c.acceptedAt) >= delay {
		t.Errorf("got an arrival %v after the accept, want earlier than the read", c.requestArrivedAt().Sub(c.acceptedAt))
	}
	sent := make(chan time.Time, 1)
	time.AfterFunc(delay, func() {
		sent <- time.Now()
		io.WriteString(peer, "E")
	})
	if read(); c.requestArrivedAt().Before(<-sent) {
		t.Error("got an arrival before the bytes were sent")
	}
	c.beginRequest()
	c.endRequest()
	respondedAt := time.Now()
	io.WriteString(peer, "T")
	time.Sleep(delay)
	if read(); c.requestArrivedAt().Before(respondedAt.Add(-delay/2)) || c.requestArrivedAt().After(respondedAt.Add(delay/2)) {
		t.Errorf("got an arrival %v after the response, want about 0", c.requestArrivedAt().Sub(respondedAt))
	}
}

// newConnPair returns the client's and the sidecar's end of a connection.
func newConnPair(t *testing.T) (net.Conn, *clientConn) {
	t.Helper()
	ln := sidecartest.ListenLoopback(t)
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := newClientConn(accepted.(*net.TCPConn))
	t.Cleanup(func() { peer.Close(); c.Close() })
	return peer, c
}

// Closing a connection as idle while a request is being read from it would lose the request: the client
// assumes that it is in progress.
func TestIdleCloseDoesNotDropARequestBeingRead(t *testing.T) {
	peer, c := newConnPair(t)
	reading, proceed := make(chan struct{}), make(chan struct{})
	c.readHook = func() {
		close(reading)
		<-proceed
	}
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 10))
		read <- err
	}()
	peer.Write([]byte("P"))
	sidecartest.Await(t, "the middle of the read", reading)
	state := make(chan connState, 1)
	go func() { state <- closeIdleConn(c, false) }()
	close(proceed)
	if got := sidecartest.Await(t, "the close", state); got != connIdle {
		t.Errorf("got state %d, want idle", got)
	}
	if err := sidecartest.Await(t, "the read", read); err != nil {
		t.Errorf("read: got error %v, want none", err)
	}
	if closeIdleConn(c, false) != connIdle {
		t.Error("connection was closed as idle after part of a request had been read")
	}
	if c.headerRead(); closeIdleConn(c, false) != connClosed {
		t.Error("connection was not closed after the header had been handled")
	}
}

// A request on a connection that was closed as idle must not be read: the client sends it again.
func TestClosedConnectionIsNotRead(t *testing.T) {
	peer, c := newConnPair(t)
	c.mu.Lock()
	c.state = connClosed // as closeIdle does before it closes the socket
	c.mu.Unlock()
	peer.Write([]byte("P"))
	if n, err := c.Read(make([]byte, 10)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %d bytes and %v, want net.ErrClosed", n, err)
	}
}

// A connection with a partial request can be evicted, one with a request in progress cannot.
func TestPartialRequestIsEvicted(t *testing.T) {
	peer, c := newConnPair(t)
	peer.Write([]byte("P"))
	if _, err := c.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if got := closeIdleConn(c, true); got != connClosed {
		t.Errorf("with a partial request: got state %d, want closed", got)
	}
	_, busy := newConnPair(t)
	busy.beginRequest()
	if got := closeIdleConn(busy, true); got != connBusy {
		t.Errorf("with a request in progress: got state %d, want busy", got)
	}
	if busy.endRequest(); closeIdleConn(busy, false) != connClosed {
		t.Error("connection was not closed when idle")
	}
}

// The client's socket is checked immediately before an attempt is written: net/http may detect a close later.
func TestNoAttemptIsSentAfterClientDisconnect(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	peer, accepted := newConnPair(t)
	r := &upstream.Request{ID: "left", Method: "POST", URL: sidecartest.MustURL("/"), Host: "x", Header: http.Header{}}
	sendGate := gate.New()
	transport := testTransport(1, sendGate)
	defer transport.Pool().Close()
	to := upstream.NewServer(u.Addr)
	sendAttempt := func() policy.Ending {
		deadline := time.Now().Add(time.Hour)
		a := &upstream.Attempt{Request: r, Client: accepted, Server: to, Deadline: deadline}
		a.Begin(t.Context(), deadline)
		ending, _ := transport.Do(a)
		return ending
	}
	if got := sendAttempt(); got != policy.Served {
		t.Errorf("while the client is connected: got ending %v, want served", got)
	}
	peer.Close()
	sidecartest.Eventually(t, "the close has arrived", accepted.ClosedByClient)
	if got := sendAttempt(); got != policy.NotSent || len(u.Requests) != 1 {
		t.Errorf("after the client's close: got ending %v and %d requests written, want not sent and 1", got, len(u.Requests))
	}
	if n := sendGate.Counters().Decided["send: client left"]; n != 1 {
		t.Errorf("got %d denials for a disconnected client, want 1", n)
	}
}
