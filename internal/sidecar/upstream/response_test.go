package upstream

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"barleywick/internal/settings"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/httpmessage"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/policy"
)

// The ending of an attempt for each kind of response that the protocol's table distinguishes.
func TestEndingsByServerResponse(t *testing.T) {
	const none = "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		end  bool
		want policy.Ending
	}{
		"served":                  {text: sidecartest.OKResponse("honey"), want: policy.Served},
		"twice the same length":   {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Served},
		"more than belongs to it": {text: sidecartest.OKResponse("honey") + sidecartest.OKResponse("again"), want: policy.Served},
		"two informational":       {text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + sidecartest.OKResponse("honey"), want: policy.Served},
		"chunked":                 {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.Served},
		"chunked, in small ones":  {text: "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n1\r\nh\r\n3;x=y\r\none\r\n1\r\ny\r\n0\r\nTrailer: x\r\n\r\n", want: policy.Served},
		"chunked after those":     {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.Served},
		"chunks, a length behind": {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\ncontent-length : 5\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.Broken},
		"chunks below much else":  {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: " + strings.Repeat("x", httpmessage.MaxRecordedHead) + "\r\nContent-Length: 5\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.Broken},
		"chunks without an end":   {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", maxResponseWire/6+4<<10), want: policy.Broken},
		"without a length or end": {text: "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxResponseWire+8<<10), want: policy.Broken},
		"chunks beside a length":  {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.Broken},
		"broken chunk":            {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\nzz\r\n", want: policy.Broken},
		"no length, and closed":   {text: "HTTP/1.1 200 OK\r\n\r\nhoney", end: true, want: policy.Served},
		"two lengths":             {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Broken},
		"negative length":         {text: "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhoney", want: policy.Broken},
		"status that is none":     {text: "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Broken},
		"another protocol":        {text: "ICY 200 OK\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Broken},
		"line without a colon":    {text: "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Broken},
		"said to have 3 GB":       {text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhoney", want: policy.Broken},
		"after an informational":  {text: "HTTP/1.1 100 Continue\r\n\r\n" + sidecartest.OKResponse("honey"), want: policy.Served},
		"error":                   {text: "HTTP/1.1 500 x\r\n" + none, want: policy.Errored},
		"rejected 503":            {text: "HTTP/1.1 503 x\r\nNot-Started: 1\r\n" + none, want: policy.Rejected},
		"rejected 504":            {text: "HTTP/1.1 504 x\r\nNot-Started: 1\r\n" + none, want: policy.Rejected},
		"503 may have run":        {text: "HTTP/1.1 503 x\r\n" + none, want: policy.Errored},
		"504 not said":            {text: "HTTP/1.1 504 x\r\nNot-Started: 0\r\n" + none, want: policy.Errored},
		"500 with the mark":       {text: "HTTP/1.1 500 x\r\nNot-Started: 1\r\n" + none, want: policy.Errored},
		"429 may have run":        {text: "HTTP/1.1 429 x\r\n" + none, want: policy.Errored},
		"no response at all":      {end: true, want: policy.Broken},
		"cut body":                {text: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhoney", end: true, want: policy.Broken},
		"cut chunk":               {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n", end: true, want: policy.Broken},
		"no HTTP":                 {text: "hello\r\n\r\n", end: true, want: policy.Broken},
		"too large":               {text: sidecartest.OKResponse(strings.Repeat("x", MaxResponseBody+1)), want: policy.Broken},
		"endless header":          {text: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxResponseHead), want: policy.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			u := sidecartest.NewFakeServer(t, func(sidecartest.ReceivedRequest) (string, bool) { return c.text, c.end })
			got, a := runOneAttempt(context.Background(), testPool(2), NewServer(u.Addr))
			if got != c.want {
				t.Errorf("got ending %v, want %v", got, c.want)
			}
			if (a != nil) != (c.want == policy.Served) || (a != nil && string(a.Body) != "honey") {
				t.Errorf("got response %+v, want one with body honey only if the request was served", a)
			}
			if r := sidecartest.Await(t, "the request", u.Requests); r.Body != "{}" || r.Header.Get("Request-Id") != "x" {
				t.Errorf("the server received header %v, body %q; want Request-Id x and body {}", r.Header, r.Body)
			}
		})
	}
}

func TestUnresponsiveServerTimesOutAndItsConnectionIsClosed(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(""))
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if got, _ := runOneAttempt(ctx, testPool(2), NewServer(u.Addr)); got != policy.TimedOut {
		t.Errorf("got ending %v, want timed out", got)
	}
	sidecartest.Await(t, "the connection's close", u.Closed)
}

func TestCancelClosesTheConnection(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(""))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-u.Requests
		cancel()
	}()
	if got, _ := runOneAttempt(ctx, testPool(2), NewServer(u.Addr)); got != policy.Cancelled {
		t.Errorf("got ending %v, want cancelled", got)
	}
	sidecartest.Await(t, "the connection's close", u.Closed)
}

// A response that is too large fails its attempt as soon as its size is known, and not when all of it has
// arrived.
func TestOversizedResponseFailsBeforeItsEnd(t *testing.T) {
	text := sidecartest.OKResponse(strings.Repeat("x", MaxResponseBody+2))
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(text[:len(text)-1])) // the last byte is never sent
	if got, _ := runOneAttempt(t.Context(), testPool(2), NewServer(u.Addr)); got != policy.Broken {
		t.Errorf("got ending %v, want broken", got)
	}
	sidecartest.Await(t, "the connection's close", u.Closed)
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln := sidecartest.ListenLoopback(t)
	ln.Close()
	if got, _ := runOneAttempt(context.Background(), testPool(2), NewServer(ln.Addr().String())); got != policy.NoConnection {
		t.Errorf("got ending %v, want no connection", got)
	}
}

// An attempt that is cancelled or times out while waiting for a connection writes nothing.
func TestAttemptCancelledWhileWaitingWritesNothing(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("")))
	p, to := testPool(1), NewServer(u.Addr)
	held, err := p.Acquire(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got, _ := runOneAttempt(ctx, p, to); got != policy.NotSent {
		t.Errorf("cancelled: got ending %v, want not sent", got)
	}
	timeoutCtx, cancelTimeout := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancelTimeout()
	if got, _ := runOneAttempt(timeoutCtx, p, to); got != policy.NotSent {
		t.Errorf("timed out: got ending %v, want not sent: the limits here caused the wait", got)
	}
	p.Discard(held)
	if len(u.Requests) > 0 {
		t.Error("a request was written")
	}
}

// A request whose last byte could not be written counts as not run, however much of it was sent.
func TestUnfinishedWriteNeverRan(t *testing.T) {
	ln := sidecartest.ListenLoopback(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetReadBuffer(4 << 10) // and never reads
			t.Cleanup(func() { c.Close() })
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	u := newTestTransport(testPool(1))
	c, err := u.pool.Acquire(ctx, NewServer(ln.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	c.Conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	req := &http.Request{Method: "GET", URL: sidecartest.MustURL("/"), Host: "x", Header: http.Header{"X": {strings.Repeat("x", 16<<20)}}}
	if x, err := u.exchange(ctx, sendPermit{writeCtx: ctx}, c, req); err == nil || x.written() {
		t.Errorf("got written %v, error %v; want an unfinished write", x.writtenAt, err)
	}
}

func TestProbeParsesLoadReport(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		ok   bool
		load float64
	}{
		"body":          {sidecartest.OKResponse("TEXT failed_ps=0.5, busy_reqs=7"), true, 7},
		"header":        {"HTTP/1.1 200 OK\r\nServer-Load: TEXT busy_reqs=3\r\nContent-Length: 0\r\n\r\n", true, 3},
		"without field": {sidecartest.OKResponse("TEXT failed_ps=0.5"), true, -1},
		"no number":     {sidecartest.OKResponse("TEXT busy_reqs=many"), true, -1},
		"negative":      {sidecartest.OKResponse("TEXT busy_reqs=-2"), true, -1},
		"infinite":      {sidecartest.OKResponse("TEXT busy_reqs=+Inf"), true, -1},
		"garbage":       {sidecartest.OKResponse("\x00=,,=busy_reqs"), true, -1},
		"unhealthy":     {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false, -1},
	} {
		t.Run(name, func(t *testing.T) {
			u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(c.text))
			ups := NewTransport(testPool(1), gate.New(), "/stats", settings.LoadColumns{"busy_reqs", "pending"})
			ok, load := ups.Probe(context.Background(), NewServer(u.Addr))
			if ok != c.ok || load.InFlight != c.load {
				t.Errorf("got %v, %v; want %v, %v", ok, load.InFlight, c.ok, c.load)
			}
			if r := sidecartest.Await(t, "the probe", u.Requests); r.URL.Path != "/stats" || r.Header.Get("Request-Id") != "" {
				t.Errorf("got a probe of %s with header %v; want /stats without a Request-Id", r.URL, r.Header)
			}
		})
	}
}

func TestProbeOfUnresponsiveServerTimesOut(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(""))
	ups := newTestTransport(testPoolWithTimeouts(500*time.Millisecond, time.Second, 1))
	if ok, load := ups.Probe(context.Background(), NewServer(u.Addr)); ok || load.InFlight >= 0 {
		t.Errorf("got %v, %v; want false and an unknown load", ok, load)
	}
	sidecartest.Await(t, "the connection's close", u.Closed)
}
