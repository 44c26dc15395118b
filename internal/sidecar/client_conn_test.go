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

// A partial request on an evicted connection is refused before the close, with or without lingering.
func TestPartialRequestIsRefusedBeforeTheClose(t *testing.T) {
	for _, haste := range []bool{false, true} {
		far, c := newConnPair(t)
		io.WriteString(far, "POST /api HTT")
		if _, err := c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		state, owed := c.closeIdle(true)
		if state != connClosed || !owed {
			t.Fatalf("got state %d, refusal owed %v; want closed and true", state, owed)
		}
		go c.refusePartial(haste)
		resp, err := http.ReadResponse(bufio.NewReader(far), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("got %+v, %v; want 503 and the close", resp, err)
		}
		far.Close()
		c.Close() // as net/http does; it waits for the refusal
	}
}

// If net/http closes a connection over a request that was read, a response is written before.
func TestRequestReadIsAnsweredBeforeTheClose(t *testing.T) {
	for want, taken := range map[int]bool{http.StatusServiceUnavailable: false, http.StatusBadGateway: true} {
		far, c := newConnPair(t)
		io.WriteString(far, "POST /api HTT")
		if _, err := c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		if taken {
			c.beginRequest()
		}
		go c.Close()
		resp, err := http.ReadResponse(bufio.NewReader(far), nil)
		if err != nil || resp.StatusCode != want {
			t.Errorf("in progress %v: got %+v, %v; want %d", taken, resp, err, want)
		}
		far.Close()
	}
}

// A request that was in the kernel while its connection waited counts from the accept; one that the
// read waited for counts from its arrival.
func TestRequestArrivalTime(t *testing.T) {
	const late = 80 * time.Millisecond
	far, c := newConnPair(t)
	io.WriteString(far, "G")
	time.Sleep(late)
	read := func() {
		t.Helper()
		if _, err := c.Read(make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
	}
	if read(); c.requestArrivedAt().Sub(c.acceptedAt) >= late {
		t.Errorf("got arrival %v after the accept, want earlier than its read", c.requestArrivedAt().Sub(c.acceptedAt))
	}
	sent := make(chan time.Time, 1)
	time.AfterFunc(late, func() {
		sent <- time.Now()
		io.WriteString(far, "E")
	})
	if read(); c.requestArrivedAt().Before(<-sent) {
		t.Error("got an arrival before the request was sent")
	}
	c.beginRequest()
	c.endRequest()
	rested := time.Now()
	io.WriteString(far, "T")
	time.Sleep(late)
	if read(); c.requestArrivedAt().Before(rested.Add(-late/2)) || c.requestArrivedAt().After(rested.Add(late/2)) {
		t.Errorf("got arrival %v after the response, want about 0", c.requestArrivedAt().Sub(rested))
	}
}

// newConnPair returns both ends of a connection.
func newConnPair(t *testing.T) (net.Conn, *clientConn) {
	t.Helper()
	ln := sidecartest.ListenLoopback(t)
	far, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := newClientConn(near.(*net.TCPConn))
	t.Cleanup(func() { far.Close(); c.Close() })
	return far, c
}

// A request that is being read while its connection is to be closed as idle would be lost with the
// close: its client believes it to be in progress.
func TestConnectionIsNotClosedOverWhatIsBeingRead(t *testing.T) {
	far, c := newConnPair(t)
	reading, goOn := make(chan struct{}), make(chan struct{})
	c.readHook = func() {
		close(reading)
		<-goOn
	}
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 10))
		read <- err
	}()
	far.Write([]byte("P"))
	sidecartest.Await(t, "the middle of the read", reading)
	state := make(chan connState, 1)
	go func() { state <- closeIdleConn(c, false) }()
	close(goOn)
	if got := sidecartest.Await(t, "the close", state); got != connIdle {
		t.Errorf("got state %d, want idle", got)
	}
	if err := sidecartest.Await(t, "the read", read); err != nil {
		t.Errorf("got error %v from the read", err)
	}
	if closeIdleConn(c, false) != connIdle {
		t.Error("closed as idle with a partial request read")
	}
	if c.headerRead(); closeIdleConn(c, false) != connClosed {
		t.Error("not closed after its header was handled")
	}
}

// Nothing is read from a connection that was closed as idle: the client sends its request again.
func TestNothingIsReadFromAClosedConnection(t *testing.T) {
	far, c := newConnPair(t)
	c.mu.Lock()
	c.state = connClosed // as in the moment before its close
	c.mu.Unlock()
	far.Write([]byte("P"))
	if n, err := c.Read(make([]byte, 10)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %d bytes and %v, want net.ErrClosed", n, err)
	}
}

// A connection with a partial request can be evicted, one with a request in progress cannot.
func TestPartialRequestIsEvicted(t *testing.T) {
	far, c := newConnPair(t)
	far.Write([]byte("P"))
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
		t.Error("not closed when idle")
	}
}

// The client's socket is checked in the moment of the write: net/http may notice a close later.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	far, near := newConnPair(t)
	r := &upstream.Request{ID: "left", Method: "POST", URL: sidecartest.MustURL("/"), Host: "x", Header: http.Header{}}
	sendGate := gate.New()
	transport := testTransport(1, sendGate)
	defer transport.Pool().Close()
	to := upstream.NewServer(u.Addr)
	try := func() policy.Ending {
		deadline := time.Now().Add(time.Hour)
		a := &upstream.Attempt{Request: r, Client: near, Server: to, Deadline: deadline}
		a.Begin(t.Context(), deadline)
		ending, _ := transport.Do(a)
		return ending
	}
	if got := try(); got != policy.Served {
		t.Errorf("while the client is there: got ending %v, want served", got)
	}
	far.Close()
	sidecartest.Eventually(t, "the close has arrived", near.ClosedByClient)
	if got := try(); got != policy.NotSent || len(u.Requests) != 1 {
		t.Errorf("got ending %v and %d requests written, want not sent and 1", got, len(u.Requests))
	}
	if n := sendGate.Counters().Decided["send: client left"]; n != 1 {
		t.Errorf("got %d denials for a client that left, want 1", n)
	}
}
