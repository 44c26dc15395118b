package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"barleywick/internal/registry/registrytest"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// A client leaves while its attempt waits for a connection. Even if attempts may not be cancelled, one
// that has not begun must not begin.
func TestAttemptDoesNotBeginOnceItsClientHasGone(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	config := l.config.Policy
	config.MayCancel = false
	b, err := policy.New(config, 1, l)
	if err != nil {
		t.Fatal(err)
	}
	l.balancer = b
	b.Start(l.clock.read())
	l.applyListing(policy.ListFull, *l.config.KnownEndpoints)
	l.transport = testTransport(1, gate.New())
	pool := l.transport.Pool()
	defer pool.Close()
	to := l.endpoints.byName["s-1"].server
	out, err := pool.Acquire(t.Context(), to)
	if err != nil {
		t.Fatal(err)
	}
	go l.run(t.Context())
	r := &request{
		Request: upstream.Request{ID: "leaves", Method: "POST", URL: sidecartest.MustURL("/api"), Host: "x", Header: map[string][]string{"Request-Id": {"leaves"}}},
		class:   2, clientDeadline: time.Now().Add(4 * time.Second), result: make(chan response, 1),
	}
	l.post(requestArrived{r})
	sidecartest.Eventually(t, "the attempt waits", func() bool { _, now := pool.Counters(); return now.Waiting == 1 })
	l.post(clientDisconnected{r})
	handled := make(chan struct{})
	l.post(fleetPolicyReceived{done: handled})
	sidecartest.Await(t, "the loop", handled)
	pool.Release(out) // for the attempt, if it still waits
	// The pool has one connection: the next request would follow on it.
	next := &upstream.Attempt{Request: &upstream.Request{Method: "POST", URL: sidecartest.MustURL("/api"), Host: "x", Header: http.Header{"Request-Id": {"next"}}}, Server: to}
	next.Begin(t.Context(), time.Now().Add(time.Hour))
	if got, _ := l.transport.Do(next); got != policy.Served {
		t.Errorf("the next attempt: got ending %v, want served", got)
	}
	if first := sidecartest.Await(t, "a request", u.Requests); first.Header.Get("Request-Id") == "leaves" {
		t.Error("the attempt began although its client had left")
	}
}

// The end of a chunked request without a Content-Length is certain, on a new connection as on a kept
// one, whether it arrives in one piece or byte by byte.
func TestChunkedRequestIsServed(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sidecartest.Patience))
	answers := bufio.NewReader(c)
	for i, piece := range []int{1 << 10, 1, 7} {
		fmt.Fprintf(c, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") // leaves nothing unread
		if resp, err := http.ReadResponse(answers, nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("health check: got %v, %v; want 200", resp, err)
		} else {
			io.Copy(io.Discard, resp.Body)
		}
		text := requestHead(fmt.Sprint("c-", i)) + "Transfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n4;x=y\r\n pot\r\n0\r\n\r\n"
		for part := range slices.Chunk([]byte(text), piece) {
			if _, err := c.Write(part); err != nil {
				t.Fatal(err)
			}
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || string(body) != "ok" {
			t.Errorf("request %d: got %d %q", i, resp.StatusCode, body)
		}
		if r := sidecartest.Await(t, "the request", u.Requests); r.Body != "honey pot" || r.ContentLength != 9 || len(r.TransferEncoding) > 0 {
			t.Errorf("request %d: the server read %q, length %d, encoding %v", i, r.Body, r.ContentLength, r.TransferEncoding)
		}
	}
}

// A client may leave long before its request is read, if its connection waited for admission. The
// request is not forwarded, although net/http has not noticed the close yet.
func TestRequestOfAClientThatLeftUnreadIsNotForwarded(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	serve := newHandlerTest(t, u)
	for name, leave := range map[string]func(net.Conn){
		"closed": func(far net.Conn) { far.Close() },
		"reset":  func(far net.Conn) { far.(*net.TCPConn).SetLinger(0); far.Close() },
	} {
		far, c := newConnPair(t)
		if c.ClosedByClient() {
			t.Fatal("it counts as closed before the client has closed it")
		}
		leave(far)
		if sidecartest.Eventually(t, "the close has arrived", c.ClosedByClient); serve(c) || isBusy(c) || len(u.Requests) > 0 {
			t.Errorf("%s: the request was begun or aborted, %d reached the server", name, len(u.Requests))
		}
	}
	far, c := newConnPair(t)
	far.Write([]byte("more")) // bytes behind a request are no close
	if serve(c) || len(u.Requests) != 1 {
		t.Error("the request of a client that is there was not forwarded")
	}
}

// newClientSide runs the client side and the event loop of a sidecar, for tests that need these parts.
// onRead is called in the middle of each read from a client.
func newClientSide(t *testing.T, u *sidecartest.FakeServer, onRead func()) (*eventLoop, *limitedListener, *gracefulShutdown) {
	t.Helper()
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	limited := newLimitedListener(sidecartest.ListenLoopback(t), testLimits(4))
	l.connections = limited
	ending := testShutdown(limited)
	server := newClientHandler(l.config, l, ending).newServer()
	withRequest := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		c.(*clientConn).readHook = onRead
		return withRequest(ctx, c)
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { l.run(t.Context()) })
	tasks.Go(func() { server.Serve(limited) })
	limited.start()
	t.Cleanup(func() { // the test's context has ended by now
		server.Close()
		limited.Close()
		tasks.Wait()
	})
	return l, limited, ending
}

// What a client sends behind its request stays unread while that is in progress. It hides neither the
// client's close nor, at a shutdown, the response, which a close over unread bytes would destroy.
func TestClientCloseIsSeenBehindPipelinedBytes(t *testing.T) {
	const ahead = 3 * maxHeaderBytes // more than is read with the first request
	begin := func(t *testing.T) (u *sidecartest.FakeServer, goOn chan struct{}, limited *limitedListener, ending *gracefulShutdown, c *net.TCPConn) {
		goOn = make(chan struct{})
		u = sidecartest.NewFakeServer(t, func(sidecartest.Received) (string, bool) {
			<-goOn
			return sidecartest.OKResponse("ok"), false
		})
		_, limited, ending = newClientSide(t, u, nil)
		nc, err := net.Dial("tcp", limited.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(sidecartest.Patience))
		io.WriteString(nc, requestHead("first")+"Content-Length: 0\r\n\r\n")
		sidecartest.Await(t, "the first request", u.Requests)
		if _, err := io.WriteString(nc, requestHead("second")+strings.Repeat("x", ahead)); err != nil {
			t.Fatal(err)
		}
		return u, goOn, limited, ending, nc.(*net.TCPConn)
	}
	t.Run("the client leaves", func(t *testing.T) {
		_, goOn, limited, _, c := begin(t)
		c.CloseWrite()
		// The client may still read: it gets 502, as the request is in progress. The connection may end in a
		// reset because of the pipelined bytes.
		if got, _ := io.ReadAll(c); strings.Count(string(got), "HTTP/1.1 ") > 1 || !strings.HasPrefix(string(got), "HTTP/1.1 502 ") {
			t.Errorf("got %q, want one 502: the close was not seen", got)
		}
		sidecartest.Eventually(t, "the connection is closed", func() bool { return limited.openConns() == 0 })
		close(goOn)
	})
	t.Run("this process shuts down", func(t *testing.T) {
		u, goOn, limited, ending, c := begin(t)
		ending.begin()
		close(goOn)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Fatalf("got %+v, error %v; want 200 and the close", resp, err)
		}
		if rest, err := io.ReadAll(in); err != nil || string(rest) != "ok" {
			t.Errorf("got %q, error %v behind the head; want ok and an orderly close", rest, err)
		}
		c.Close()
		sidecartest.Eventually(t, "the connection is closed", func() bool { return limited.openConns() == 0 })
		if n := len(u.Requests); n > 0 {
			t.Errorf("got %d requests at the server that were read after the shutdown", n)
		}
	})
}

// A request is half read when a new process takes over. It stays with this process and keeps its slot
// here: it is served, and not refused because its slot was given away.
func TestRequestHalfReadAtHandoverIsServed(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	l, limited, ending := newClientSide(t, u, nil)
	c, err := net.Dial("tcp", limited.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sidecartest.Patience))
	io.WriteString(c, requestHead("half")+"Content-Length: 4\r\n\r\nho")
	sidecartest.Eventually(t, "its header is read", func() bool {
		_, now := limited.counters()
		return now.Open == 1 && now.HalfOpen == 0
	})
	if err := ending.handOver(); err != nil {
		t.Fatal(err)
	}
	if held := l.releaseCapacity(); len(held) == 0 || held[0].Slots != 1 {
		t.Errorf("got %v kept, want a slot for the request that is being read", held)
	}
	io.WriteString(c, "ld")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Fatalf("got %+v, error %v; want 200 and the close", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	sidecartest.Await(t, "the close of its connection", limited.allEnded)
	if held := l.releaseCapacity(); len(held) == 0 || held[0] != (policy.BulkheadCapacity{}) {
		t.Errorf("got %v kept at the end, want none", held)
	}
}

// A request is being read on an idle connection when a shutdown begins: it is answered, and the
// connection is closed with the response.
func TestRequestReadAsShutdownBeginsIsAnswered(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	var reads atomic.Int32
	reading, goOn := make(chan struct{}), make(chan struct{})
	_, limited, ending := newClientSide(t, u, func() {
		if reads.Add(1) == 2 { // the first read is the first request's
			close(reading)
			<-goOn
		}
	})
	c, err := net.Dial("tcp", limited.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sidecartest.Patience))
	answers := bufio.NewReader(c)
	ask := func(id string) { io.WriteString(c, requestHead(id)+"Content-Length: 0\r\n\r\n") }
	answer := func() *http.Response {
		t.Helper()
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	ask("first")
	if got := answer(); got.StatusCode != 200 || got.Close {
		t.Fatalf("before the shutdown: got %d, close %v; want 200, false", got.StatusCode, got.Close)
	}
	sidecartest.Eventually(t, "it is idle", func() bool { _, now := limited.counters(); return now.Idle == 1 })
	ask("second")
	sidecartest.Await(t, "the middle of its read", reading)
	begun := make(chan struct{})
	go func() {
		ending.begin()
		close(begun)
	}()
	sidecartest.Eventually(t, "the shutdown holds the listener's lock and waits for the read", func() bool {
		free := limited.mu.TryLock() // nobody else takes it now
		if free {
			limited.mu.Unlock()
		}
		return !free
	})
	close(goOn)
	if got := answer(); got.StatusCode != 200 || !got.Close {
		t.Errorf("as the shutdown begins: got %d, close %v; want 200, true", got.StatusCode, got.Close)
	}
	sidecartest.Await(t, "the begin of the shutdown", begun)
	if len(u.Requests) != 2 {
		t.Errorf("got %d requests at the server, want 2", len(u.Requests))
	}
}

// Wherever the response to a non-idempotent request breaks off, the request was sent once, and its
// client is not told that it may try again.
func TestNonIdempotentIsSentOnceWhereverItsResponseBreaksOff(t *testing.T) {
	whole := sidecartest.OKResponse("ok")
	var most atomic.Int32
	u := sidecartest.NewFakeServer(t, func(r sidecartest.Received) (string, bool) {
		io.WriteString(r.Conn, whole[:most.Load()])
		r.Conn.(*net.TCPConn).SetLinger(0) // its close is a reset
		return "", int(most.Load()) < len(whole)
	})
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	tried := 0
	for n := range len(whole) + 1 {
		most.Store(int32(n))
		got := call{class: "once", id: fmt.Sprint("cut-", n)}.do(t, addr)
		want := http.StatusBadGateway
		if n == len(whole) {
			want = http.StatusOK
		}
		if got.status != want {
			// A server that failed lately gets no request: such a refusal tests nothing.
			if got.status != http.StatusServiceUnavailable || len(u.Requests) > 0 {
				t.Errorf("cut after %d bytes: got %+v and %d attempts", n, got, len(u.Requests))
			}
			continue
		}
		if r := sidecartest.Await(t, "the attempt", u.Requests); r.Header.Get("Request-Id") != fmt.Sprint("cut-", n) || len(u.Requests) > 0 {
			t.Errorf("cut after %d bytes: got request %s and %d more attempts", n, r.Header.Get("Request-Id"), len(u.Requests))
		}
		tried++
	}
	if tried < len(whole)/2 {
		t.Errorf("got %d of %d places tested", tried, len(whole)+1)
	}
}
