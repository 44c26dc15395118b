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

// Half a request that gives way is refused before its connection ends, also where many do.
func TestPartialRequestIsRefusedBeforeTheClose(t *testing.T) {
	for _, haste := range []bool{false, true} {
		far, c := newConnPair(t)
		io.WriteString(far, "POST /api HTT")
		if _, err := c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		state, owed := c.closeIdle(true)
		if state != connClosed || !owed {
			t.Fatalf("state %d, owed %v", state, owed)
		}
		go c.refusePartial(haste)
		resp, err := http.ReadResponse(bufio.NewReader(far), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("answered %+v, %v; want 503 and the end", resp, err)
		}
		far.Close()
		c.Close() // net/http's, which waits for it
	}
}

// A connection that net/http closes over what it has read has a refusal before that.
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
			t.Errorf("taken %v: answered %+v, %v; want %d", taken, resp, err, want)
		}
		far.Close()
	}
}

// A request that lay in the kernel while its connection waited counts from then, one that was
// waited for from when it came.
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
		t.Errorf("it came %v after the connection, as if it had come when it was read", c.requestArrivedAt().Sub(c.acceptedAt))
	}
	sent := make(chan time.Time, 1)
	time.AfterFunc(late, func() {
		sent <- time.Now()
		io.WriteString(far, "E")
	})
	if read(); c.requestArrivedAt().Before(<-sent) {
		t.Error("what was waited for counts from before it was sent")
	}
	c.beginRequest()
	c.endRequest()
	rested := time.Now()
	io.WriteString(far, "T")
	time.Sleep(late)
	if read(); c.requestArrivedAt().Before(rested.Add(-late/2)) || c.requestArrivedAt().After(rested.Add(late/2)) {
		t.Errorf("the next request counts from %v after the answer", c.requestArrivedAt().Sub(rested))
	}
}

// newConnPair returns a client's end of a connection, and ours.
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

// A request that is being read in the moment in which its connection is to be closed as
// idle is lost if the close goes through: its client takes it to be in work.
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
		t.Errorf("the connection is in state %d, want left alone", got)
	}
	if err := sidecartest.Await(t, "the read", read); err != nil {
		t.Errorf("what was read is lost: %v", err)
	}
	if closeIdleConn(c, false) != connIdle {
		t.Error("closed as idle with half a request read")
	}
	if c.headerRead(); closeIdleConn(c, false) != connClosed {
		t.Error("not closed once that was answered")
	}
}

// The other way round nothing is read any more: the client sends its request once more.
func TestNothingIsReadFromAClosedConnection(t *testing.T) {
	far, c := newConnPair(t)
	c.mu.Lock()
	c.state = connClosed // the moment before its close
	c.mu.Unlock()
	far.Write([]byte("P"))
	if n, err := c.Read(make([]byte, 10)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %d bytes and %v", n, err)
	}
}

// Half a request gives way to others that wait, whole ones and those in work do not.
func TestPartialRequestIsEvicted(t *testing.T) {
	far, c := newConnPair(t)
	far.Write([]byte("P"))
	if _, err := c.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if got := closeIdleConn(c, true); got != connClosed {
		t.Errorf("state %d with half a request, want closed", got)
	}
	_, busy := newConnPair(t)
	busy.beginRequest()
	if got := closeIdleConn(busy, true); got != connBusy {
		t.Errorf("state %d with a request in work", got)
	}
	if busy.endRequest(); closeIdleConn(busy, false) != connClosed {
		t.Error("not closed once it rests")
	}
}

// The client's socket is looked at in the moment of the write: net/http may tell later.
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
		t.Errorf("while it is there: ending %v", got)
	}
	far.Close()
	sidecartest.Eventually(t, "the close has come", near.ClosedByClient)
	if got := try(); got != policy.NotSent || len(u.Requests) != 1 {
		t.Errorf("ending %v with %d requests written, want not sent", got, len(u.Requests))
	}
	if n := sendGate.Counters().Decided["send: client left"]; n != 1 {
		t.Errorf("%d denials for a client that left, want 1", n)
	}
}
