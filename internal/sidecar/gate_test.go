package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/policy"
)

// makeDuplicatesConclusive lets a pool see as many different answers as it takes to tell them apart.
func makeDuplicatesConclusive(p *pool) {
	for i := range distinctRunNeeded {
		p.duplicates.observe(p.duplicates.hash([]byte(fmt.Sprint("other ", i))), new(recentResponses))
	}
}

// A second answer that comes after the rest, in front of the next request's, is that request's to
// nobody; where all servers answer alike, equality says nothing.
func TestSecondAnswerIsNotTheNextRequests(t *testing.T) {
	for name, alike := range map[string]bool{"answers differ": false, "answers are alike": true} {
		t.Run(name, func(t *testing.T) {
			last := ""
			u := newUpstream(t, func(r received) (string, bool) {
				first := last
				if last = answer200("done " + r.Header.Get("Request-Id")); alike {
					last = answer200("done")
				}
				if first == "" || alike {
					return last, false
				}
				return first + last, false
			})
			p, to := testPool(1), &upstreamServer{addr: u.addr}
			defer p.close()
			if !alike {
				makeDuplicatesConclusive(p)
			}
			for i := range distinctRunNeeded + 4 {
				r := &request{method: "POST", url: mustURL("/"), host: "x", externalID: fmt.Sprint(i), header: http.Header{"Request-Id": {fmt.Sprint(i)}}}
				r.clientDeadline = time.Now().Add(time.Hour)
				a := newAttempt(t.Context(), r, r.clientDeadline, time.Time{})
				a.server = to
				ending, got := newTransport(p).runAttempt(a)
				want := fmt.Sprint("done ", i)
				if alike {
					want = "done"
				}
				if ending != policy.Served || string(got.body) != want {
					t.Fatalf("request %d: ending %v, answer %+v", i, ending, got)
				}
				endAllQuarantines(p)
			}
			if n, _ := p.counters(); (n.Repeated > 0) == alike {
				t.Errorf("%d answers were passed over", n.Repeated)
			}
		})
	}
}

// A server that has sent an excess gets long rests, and so does any until answers are told apart.
func TestRestsAreLongWhereAnswersMayBeTakenForOthers(t *testing.T) {
	p := testPool(100)
	defer p.close()
	c := &upstreamConn{server: new(upstreamServer), idleSince: time.Now()}
	if got := p.quarantineTime(c); got != maxQuarantine {
		t.Errorf("before answers are told apart: %v", got)
	}
	if makeDuplicatesConclusive(p); p.quarantineTime(c) != minQuarantine {
		t.Errorf("once they are: %v", p.quarantineTime(c))
	}
	if p.noteSurplus(c); p.quarantineTime(c) != maxQuarantine {
		t.Errorf("after an excess: %v", p.quarantineTime(c))
	}
	if p.open = 100; p.quarantineTime(c) != minQuarantine {
		t.Errorf("with no connection to spare: %v", p.quarantineTime(c))
	}
}

// A write that is not done when its permission ends is cut off: what is not whole never runs. Attempts
// that may not be cancelled are no exception.
func TestLongWriteEndsWithItsPermission(t *testing.T) {
	ln := listenLoopback(t)
	begun := make(chan net.Conn, 1)
	go func() { // it reads the first byte, and nothing more
		c, err := ln.Accept()
		if err != nil {
			return
		}
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		if _, err := io.ReadFull(c, make([]byte, 1)); err == nil {
			begun <- c
		}
	}()
	p, to := testPool(1), &upstreamServer{addr: ln.Addr().String()}
	defer p.close()
	c := connections(t, p, to, 1)[0]
	c.Conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	p.release(c)
	endAllQuarantines(p)
	r := &request{method: "POST", url: mustURL("/"), host: "x", externalID: "long", header: http.Header{}, body: make([]byte, 16<<20)}
	r.clientDeadline = time.Now().Add(time.Hour)
	a := newAttempt(t.Context(), r, r.clientDeadline, time.Time{})
	a.server = to
	ending := make(chan policy.Ending, 1)
	go func() { e, _ := newTransport(p).runAttempt(a); ending <- e }()
	defer await(t, "the first byte", begun).Close()
	a.cancelWrite() // the client has left in the middle of the write; ctx lasts
	if got := await(t, "its end", ending); got != policy.NotSent {
		t.Errorf("ending %v, want not sent", got)
	}
}

// What lies unsent in the kernel as an attempt is given up never reaches its server.
func TestGivenUpWriteIsNotSentLater(t *testing.T) {
	const body = 60 << 10 // it fits the buffer of the sender, and not the receiver's
	listen := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	c := &upstreamConn{Conn: far, server: new(upstreamServer)}
	if n, err := c.Write(make([]byte, body)); n != body || err != nil || c.unsentBytes() == 0 {
		t.Fatalf("wrote %d, %v, unsent %d", n, err, c.unsentBytes())
	}
	c.Close()
	near.SetReadDeadline(time.Now().Add(patience))
	if n, err := io.Copy(io.Discard, near); n >= body || err == nil {
		t.Errorf("%d bytes came and %v, want a part and a reset", n, err)
	}
}

// The client's socket is looked at in the moment of the write: net/http may tell later.
func TestNothingIsWrittenForAClientThatHasLeft(t *testing.T) {
	u := newUpstream(t, always(answer200("ok")))
	p, to := testPool(1), &upstreamServer{addr: u.addr}
	defer p.close()
	far, near := connected(t)
	r := &request{method: "POST", url: mustURL("/"), host: "x", externalID: "left", header: http.Header{}, conn: near}
	r.clientDeadline = time.Now().Add(time.Hour)
	ups := newTransport(p)
	try := func() policy.Ending {
		a := newAttempt(t.Context(), r, r.clientDeadline, time.Time{})
		a.server = to
		ending, _ := ups.runAttempt(a)
		return ending
	}
	if got := try(); got != policy.Served {
		t.Errorf("while it is there: ending %v", got)
	}
	far.Close()
	eventually(t, "the close has come", near.closedByClient)
	if got := try(); got != policy.NotSent || len(u.requests) != 1 {
		t.Errorf("ending %v with %d requests written, want not sent", got, len(u.requests))
	}
	if n := ups.gate.decided[actionSend][policy.DeniedClientGone].Load(); n != 1 {
		t.Errorf("%d denials for a client that left, want 1", n)
	}
}

// What was sent past its end, a late answer at the process's end and a close over a request are counted.
func TestGateCountsViolations(t *testing.T) {
	g, now := New(), time.Now()
	fine := policy.SendFacts{ClientDeadline: g.SinceStart(now.Add(time.Second)), ShutdownDeadline: policy.NoLimit, RepeatDeadline: policy.NoLimit, ServerState: policy.Ready}
	late := fine
	late.ClientDeadline = g.SinceStart(now)
	g.CheckSent(fine, now, "fine")
	g.CheckSent(late, now.Add(stallAllowance/2), "held up")
	if c := g.Counters(); len(c.Violated) != 0 {
		t.Errorf("violations of what is in order: %v", c.Violated)
	}
	g.CheckSent(late, now.Add(2*stallAllowance), "late")
	g.CheckAnswered(now, now.Add(2*stallAllowance), "late")
	g.CheckClosed(policy.CloseFacts{RequestRead: true}, "unanswered")
	if c := g.Counters(); len(c.Violated) != int(violationCount) {
		t.Errorf("counted %v, want each rule once", c.Violated)
	}
}

// What comes late in a planned end is bound to its time, what came before has its client's.
func TestLateRequestsAreBoundToTheProcessesEnd(t *testing.T) {
	g := New()
	if by := g.DeadlineFor(time.Now().Add(time.Hour)); !by.IsZero() {
		t.Errorf("bound to %v while it serves", by)
	}
	g.Shutdown(2 * time.Second)
	now := time.Now()
	if by := g.DeadlineFor(now); !by.IsZero() {
		t.Error("a request that came with the signal has not its client's time")
	}
	by := g.DeadlineFor(now.Add(lateRequestAfter))
	if left := by.Sub(now); left <= 0 || left > 2*time.Second {
		t.Errorf("a late one is bound to %v after the signal", left)
	}
	if g.MayStart(time.Second) != policy.Allowed || g.MayStart(3*time.Second) != policy.DeniedShutdown {
		t.Error("what takes longer than the process has may be started, or what does not may not")
	}
	r := &request{clientDeadline: now.Add(time.Hour), processDeadline: by}
	if r.deadline() != by || r.processTimeLeft() <= 0 {
		t.Errorf("answered by %v, in %v", r.deadline(), r.processTimeLeft())
	}
}

// Half a request that gives way is refused before its connection ends, also where many do.
func TestHalfARequestIsRefusedBeforeItsConnectionEnds(t *testing.T) {
	for _, haste := range []bool{false, true} {
		far, c := connected(t)
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
func TestReadRequestIsAnsweredAsItsConnectionEnds(t *testing.T) {
	for want, taken := range map[int]bool{http.StatusServiceUnavailable: false, http.StatusBadGateway: true} {
		far, c := connected(t)
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
func TestRequestCountsFromWhenItCame(t *testing.T) {
	const late = 80 * time.Millisecond
	far, c := connected(t)
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

// A server is told less than its client has left.
func TestDeadlineToldLeavesTimeForTheWrite(t *testing.T) {
	for _, left := range []time.Duration{time.Second, 40 * time.Millisecond} {
		ctx, cancel := context.WithTimeout(t.Context(), left)
		r := &request{method: "GET", url: mustURL("/"), header: http.Header{}}
		told, err := strconv.ParseFloat(r.upstreamRequest(ctx).Header.Get("Request-Timeout"), 64)
		cancel()
		if most := left - min(timeoutMargin, left/4) + time.Millisecond; err != nil || told <= 0 || told > most.Seconds() {
			t.Errorf("%v left: told %v s, %v", left, told, err)
		}
	}
}

// Want of something on this machine is no word against the server.
func TestLocalFailuresAreNotTheServers(t *testing.T) {
	for errno, local := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.EADDRNOTAVAIL: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ENETUNREACH: false,
	} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		if isLocalError(err) != local {
			t.Errorf("%v: local %v, want %v", errno, !local, local)
		}
	}
	if isLocalError(errors.New("other")) {
		t.Error("an unknown error is taken for one of this machine")
	}
}

// The wall clock is set ahead under a running process: a server that starts then is cold.
func TestStartAfterAStepOfTheWallClock(t *testing.T) {
	l := newTestLoop(t)
	const step = time.Hour
	l.wallNow = func() time.Time { return time.Now().Add(step) }
	l.now = l.clock()
	born := float64(time.Now().Add(step - time.Second).UnixMilli())
	s, ok := l.enterEndpoint(client.Endpoint{Host: "s-1", Dial: "127.0.0.1:7", Site: "a", Health: "up", Share: 1, BornMS: born})
	if age := l.now - s.Started; !ok || age < 500*time.Millisecond || age > 1500*time.Millisecond {
		t.Errorf("a server that started 1 s ago is %v old", age)
	}
}

// Connections that wait in the kernel's queue as the listener ends are served: the machine has
// accepted them, and requests were written to them.
func TestBacklogIsServedAsTheListenerEnds(t *testing.T) {
	u := newUpstream(t, always(answer200("ok")))
	_, limited, ending := parts(t, u, nil)
	ending.begin()
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", limited.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, rawHead(fmt.Sprint("b", len(conns)))+"Content-Length: 0\r\n\r\n")
		conns = append(conns, c)
	}
	limited.acceptBacklog()
	limited.stopAccepting()
	for i, c := range conns {
		c.SetDeadline(time.Now().Add(patience))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode >= 500 && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("connection %d: %+v, %v", i, resp, err)
		}
	}
}
