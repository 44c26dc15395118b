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

// A client disconnects while its attempt waits for an upstream connection. Even if attempts must not be
// cancelled, an attempt that has not been sent must not be sent any more.
func TestQueuedAttemptIsDroppedOnClientDisconnect(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
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
	busyConn, err := pool.Acquire(t.Context(), to)
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
	sidecartest.Await(t, "the event loop", handled)
	pool.Release(busyConn) // for the attempt, if it is still waiting
	// The pool has a single connection, on which the attempt would be written before the next one.
	next := &upstream.Attempt{Request: &upstream.Request{Method: "POST", URL: sidecartest.MustURL("/api"), Host: "x", Header: http.Header{"Request-Id": {"next"}}}, Server: to}
	next.Begin(t.Context(), time.Now().Add(time.Hour))
	if got, _ := l.transport.Do(next); got != policy.Served {
		t.Errorf("the next attempt: got ending %v, want served", got)
	}
	if first := sidecartest.Await(t, "a request", u.Requests); first.Header.Get("Request-Id") == "leaves" {
		t.Error("the attempt was sent although its client had disconnected")
	}
}

// A chunked request without a Content-Length is served, on a new connection and on a reused one, whether it
// arrives in one piece or byte by byte.
func TestChunkedRequestIsServed(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	responses := bufio.NewReader(c)
	for i, piece := range []int{1 << 10, 1, 7} {
		fmt.Fprintf(c, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") // is read completely
		if resp, err := http.ReadResponse(responses, nil); err != nil || resp.StatusCode != 200 {
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
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || string(body) != "ok" {
			t.Errorf("request %d: got status %d, body %q; want 200 and ok", i, resp.StatusCode, body)
		}
		if r := sidecartest.Await(t, "the request", u.Requests); r.Body != "honey pot" || r.ContentLength != 9 || len(r.TransferEncoding) > 0 {
			t.Errorf("request %d: the server read %q, length %d, encoding %v; want honey pot, 9, none", i, r.Body, r.ContentLength, r.TransferEncoding)
		}
	}
}

// A client may disconnect long before its request is read, if its connection waited for admission. The
// request is not forwarded, although net/http has not detected the close yet.
func TestRequestReadAfterClientDisconnectIsNotForwarded(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	serve := newHandlerTest(t, u)
	for name, leave := range map[string]func(net.Conn){
		"closed": func(peer net.Conn) { peer.Close() },
		"reset":  func(peer net.Conn) { peer.(*net.TCPConn).SetLinger(0); peer.Close() },
	} {
		peer, c := newConnPair(t)
		if c.ClosedByClient() {
			t.Fatal("ClosedByClient: got true before the client has closed the connection")
		}
		leave(peer)
		if sidecartest.Eventually(t, "the close has arrived", c.ClosedByClient); serve(c) || isBusy(c) || len(u.Requests) > 0 {
			t.Errorf("%s: the request was begun or aborted, %d requests reached the server", name, len(u.Requests))
		}
	}
	peer, c := newConnPair(t)
	peer.Write([]byte("more")) // bytes after a request are not a close
	if serve(c) || len(u.Requests) != 1 {
		t.Error("connected client: the request was aborted or not forwarded exactly once")
	}
}

// newClientSide runs the client listener, the client handler and the event loop of a sidecar, and returns
// what tests need of them. onRead is called during each read from a client.
func newClientSide(t *testing.T, u *sidecartest.FakeServer, onRead func()) (*eventLoop, *limitedListener, *gracefulShutdown) {
	t.Helper()
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	limited := newLimitedListener(sidecartest.ListenLoopback(t), testLimits(4))
	l.connections = limited
	shutdown := testShutdown(limited)
	server := newClientHandler(l.config, l, shutdown).newServer()
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
	return l, limited, shutdown
}

// Pipelined bytes after a request stay unread while the request is in progress. They must not hide the
// client's close. At a shutdown they must not make the client lose the response, as a close with unread
// bytes resets the connection.
func TestPipelinedBytesDoNotHideClientClose(t *testing.T) {
	const pipelinedBytes = 3 * maxHeaderBytes // more than is read with the first request
	startRequest := func(t *testing.T) (u *sidecartest.FakeServer, proceed chan struct{}, limited *limitedListener, shutdown *gracefulShutdown, c *net.TCPConn) {
		proceed = make(chan struct{})
		u = sidecartest.NewFakeServer(t, func(sidecartest.ReceivedRequest) (string, bool) {
			<-proceed
			return sidecartest.OKResponse("ok"), false
		})
		_, limited, shutdown = newClientSide(t, u, nil)
		nc, err := net.Dial("tcp", limited.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
		io.WriteString(nc, requestHead("first")+"Content-Length: 0\r\n\r\n")
		sidecartest.Await(t, "the first request", u.Requests)
		if _, err := io.WriteString(nc, requestHead("second")+strings.Repeat("x", pipelinedBytes)); err != nil {
			t.Fatal(err)
		}
		return u, proceed, limited, shutdown, nc.(*net.TCPConn)
	}
	t.Run("the client disconnects", func(t *testing.T) {
		_, proceed, limited, _, c := startRequest(t)
		c.CloseWrite()
		// The client may still read: it gets 502, as the request is in progress. The connection may end with a
		// reset because of the pipelined bytes.
		if got, _ := io.ReadAll(c); strings.Count(string(got), "HTTP/1.1 ") > 1 || !strings.HasPrefix(string(got), "HTTP/1.1 502 ") {
			t.Errorf("got %q, want one 502: the close was not detected", got)
		}
		sidecartest.Eventually(t, "the connection is closed", func() bool { return limited.openConns() == 0 })
		close(proceed)
	})
	t.Run("this process shuts down", func(t *testing.T) {
		u, proceed, limited, shutdown, c := startRequest(t)
		shutdown.start()
		close(proceed)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Fatalf("got %+v, error %v; want 200 and Connection: close", resp, err)
		}
		if body, err := io.ReadAll(in); err != nil || string(body) != "ok" {
			t.Errorf("after the head: got %q, error %v; want ok and an orderly close", body, err)
		}
		c.Close()
		sidecartest.Eventually(t, "the connection is closed", func() bool { return limited.openConns() == 0 })
		if n := len(u.Requests); n > 0 {
			t.Errorf("got %d requests at the server that were read after the shutdown began, want none", n)
		}
	})
}

// A request has been read in part when a successor takes over. It stays with this process and keeps its
// slot: it is served, and not refused because the slot was released.
func TestPartiallyReadRequestIsServedAfterHandover(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	l, limited, shutdown := newClientSide(t, u, nil)
	c, err := net.Dial("tcp", limited.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	io.WriteString(c, requestHead("half")+"Content-Length: 4\r\n\r\nho")
	sidecartest.Eventually(t, "the request's header is read", func() bool {
		_, now := limited.counters()
		return now.Open == 1 && now.HalfOpen == 0
	})
	if err := shutdown.handOver(); err != nil {
		t.Fatal(err)
	}
	if reserved := l.releaseCapacity(); len(reserved) == 0 || reserved[0].Slots != 1 {
		t.Errorf("got %v kept, want a slot for the request that is being read", reserved)
	}
	io.WriteString(c, "ld")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Fatalf("got %+v, error %v; want 200 and Connection: close", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	sidecartest.Await(t, "the close of the request's connection", limited.allEnded)
	if reserved := l.releaseCapacity(); len(reserved) == 0 || reserved[0] != (policy.BulkheadCapacity{}) {
		t.Errorf("got %v kept at the end, want none", reserved)
	}
}

// A request that is being read on an idle connection when a shutdown begins is answered, and the
// connection is closed with the response.
func TestRequestReadAsShutdownBeginsIsAnswered(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	var reads atomic.Int32
	reading, proceed := make(chan struct{}), make(chan struct{})
	_, limited, shutdown := newClientSide(t, u, func() {
		if reads.Add(1) == 2 { // the first read is the first request's
			close(reading)
			<-proceed
		}
	})
	c, err := net.Dial("tcp", limited.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	responses := bufio.NewReader(c)
	sendRequest := func(id string) { io.WriteString(c, requestHead(id)+"Content-Length: 0\r\n\r\n") }
	readResponse := func() *http.Response {
		t.Helper()
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	sendRequest("first")
	if got := readResponse(); got.StatusCode != 200 || got.Close {
		t.Fatalf("before the shutdown: got %d, close %v; want 200, false", got.StatusCode, got.Close)
	}
	sidecartest.Eventually(t, "the connection is idle", func() bool { _, now := limited.counters(); return now.Idle == 1 })
	sendRequest("second")
	sidecartest.Await(t, "the middle of the request's read", reading)
	begun := make(chan struct{})
	go func() {
		shutdown.start()
		close(begun)
	}()
	sidecartest.Eventually(t, "the shutdown holds the listener's lock and waits for the read", func() bool {
		free := limited.mu.TryLock() // no other goroutine locks it now
		if free {
			limited.mu.Unlock()
		}
		return !free
	})
	close(proceed)
	if got := readResponse(); got.StatusCode != 200 || !got.Close {
		t.Errorf("as the shutdown begins: got %d, close %v; want 200, true", got.StatusCode, got.Close)
	}
	sidecartest.Await(t, "the start of the shutdown", begun)
	if len(u.Requests) != 2 {
		t.Errorf("got %d requests at the server, want 2", len(u.Requests))
	}
}

// Wherever the response to a non-idempotent request is cut off, the request is sent only once, and its
// client does not get a refusal, which would allow a retry.
func TestNonIdempotentIsSentOnceIfResponseIsCutOff(t *testing.T) {
	whole := sidecartest.OKResponse("ok")
	var cutAt atomic.Int32
	u := sidecartest.NewFakeServer(t, func(r sidecartest.ReceivedRequest) (string, bool) {
		io.WriteString(r.Conn, whole[:cutAt.Load()])
		r.Conn.(*net.TCPConn).SetLinger(0) // its close is a reset
		return "", int(cutAt.Load()) < len(whole)
	})
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	tested := 0
	for n := range len(whole) + 1 {
		cutAt.Store(int32(n))
		got := call{class: "once", id: fmt.Sprint("cut-", n)}.send(t, addr)
		want := http.StatusBadGateway
		if n == len(whole) {
			want = http.StatusOK
		}
		if got.status != want {
			// A server that failed recently gets no request: such a refusal tests nothing.
			if got.status != http.StatusServiceUnavailable || len(u.Requests) > 0 {
				t.Errorf("cut after %d bytes: got %+v and %d attempts", n, got, len(u.Requests))
			}
			continue
		}
		if r := sidecartest.Await(t, "the attempt", u.Requests); r.Header.Get("Request-Id") != fmt.Sprint("cut-", n) || len(u.Requests) > 0 {
			t.Errorf("cut after %d bytes: got request %s and %d more attempts", n, r.Header.Get("Request-Id"), len(u.Requests))
		}
		tested++
	}
	if tested < len(whole)/2 {
		t.Errorf("got %d of %d cut positions tested", tested, len(whole)+1)
	}
}
