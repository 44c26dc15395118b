package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"barleywick/internal/registry/registrytest"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/counters"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/internal/sidecar/upstream"
)

// dialFrom opens a connection from the loopback address given.
func dialFrom(t testing.TB, from, to string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	return c
}

// requestOn sends a valid request on a connection and returns the response's status, or 0 if the
// connection was closed without a response.
func requestOn(c net.Conn, id string) int {
	io.WriteString(c, requestHead(id)+"Content-Length: 0\r\n\r\n")
	return statusOn(c)
}

// statusOn reads a response and returns its status, or 0 if there is none.
func statusOn(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// startLimited runs a sidecar with the given limits on client connections.
func startLimited(t *testing.T, u *sidecartest.FakeServer, limits config.ClientLimits) (addr string, stop func(), ended <-chan error) {
	t.Helper()
	c := testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	c.Connections.Clients = limits
	return startSidecar(t, c)
}

// A client that keeps as many connections as it can get must not take the share of other clients, and
// still gets responses on its own share.
func TestAddressWithMostConnectionsDoesNotStarveOthers(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	addr, _, _ := startLimited(t, u, testLimits(12))
	for i := range 30 {
		if got := requestOn(dialFrom(t, "127.0.0.2", addr), fmt.Sprint("greedy", i)); got != 200 {
			t.Fatalf("greedy request %d: got status %d, want 200", i, got)
		}
	}
	var kept []net.Conn
	for i := range 9 { // three modest clients: with the greedy one, three connections each
		c := dialFrom(t, fmt.Sprintf("127.0.0.%d", 3+i%3), addr)
		if got := requestOn(c, fmt.Sprint("modest", i)); got != 200 {
			t.Fatalf("modest connection %d: got status %d, want 200", i, got)
		}
		kept = append(kept, c)
	}
	for i := range 6 {
		if got := requestOn(dialFrom(t, "127.0.0.2", addr), fmt.Sprint("again", i)); got != 200 {
			t.Errorf("the greedy client's own share, connection %d: got status %d, want 200", i, got)
		}
	}
	for i, c := range kept {
		if got := requestOn(c, fmt.Sprint("kept", i)); got != 200 {
			t.Errorf("modest connection %d was evicted for the greedy client: got status %d, want 200", i, got)
		}
	}
}

// While all admitted connections have requests in progress, a further connection gets a complete 503 with
// Retry-After, whether it has sent a request or not. Later connections are served again.
func TestConnectionsOverTheLimitAreAnswered503(t *testing.T) {
	release := make(chan struct{})
	u := sidecartest.NewFakeServer(t, func(sidecartest.ReceivedRequest) (string, bool) {
		<-release
		return sidecartest.OKResponse("ok"), false
	})
	addr, _, _ := startLimited(t, u, testLimits(3))
	var held []<-chan result
	for i := range 3 {
		held = append(held, call{class: "once", id: fmt.Sprint(i)}.sendInBackground(t, addr))
		sidecartest.Await(t, "a request", u.Requests)
	}
	var refused sync.WaitGroup
	for i := range 6 {
		c := dialFrom(t, "127.0.0.1", addr)
		if i%2 == 0 {
			io.WriteString(c, requestHead(fmt.Sprint("late", i))+"Content-Length: 4\r\n\r\nbody")
		}
		refused.Go(func() {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1" || !resp.Close {
				t.Errorf("connection %d: got response %v, error %v; want 503, Retry-After and Connection: close", i, resp, err)
			}
		})
	}
	refused.Wait()
	close(release)
	for _, h := range held {
		if got := sidecartest.Await(t, "a response", h); got.status != 200 {
			t.Errorf("a request in progress: got %+v, want 200", got)
		}
	}
	if got := (call{class: "once", id: "after"}).send(t, addr); got.status != 200 {
		t.Errorf("afterwards: got %+v, want 200", got)
	}
}

// The sidecar closes the connection of a client that sends health checks and reads no responses. Whether
// the client sees the close depends on its kernel: with a closed window, the kernel may drop the reset.
func TestClientThatReadsNoResponseIsDisconnected(t *testing.T) {
	t.Parallel() // the test takes the whole write timeout
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	_, limited, _ := newClientSide(t, u, nil)
	c := dialFrom(t, "127.0.0.1", limited.Addr().String())
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	check := strings.Repeat("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1000)
	var sent atomic.Int64
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			n, err := io.WriteString(c, check)
			if sent.Add(int64(n)); err != nil { // closed by the sidecar, or by the test at its end
				return
			}
		}
	}()
	sidecartest.Eventually(t, "the health checks arrive", func() bool { return sent.Load() >= int64(len(check)) && limited.openConns() == 1 })
	// The socket buffers fill only as fast as the sidecar responds, so the wait restarts whenever bytes were
	// sent: only a connection without progress must be closed.
	lastSent, progressAt := int64(0), time.Now()
	for limited.openConns() > 0 {
		if now := sent.Load(); now != lastSent {
			lastSent, progressAt = now, time.Now()
		}
		if time.Since(progressAt) > sidecartest.WaitTimeout {
			t.Fatalf("the connection of a client that reads nothing is still open, after %d bytes of health checks", lastSent)
		}
		if lastSent > 1000*int64(len(check)) {
			t.Fatal("a million responses were sent to a client that reads nothing")
		}
		runtime.Gosched()
	}
	c.Close()
	sidecartest.Await(t, "the end of the client", stopped)
}

// openDescriptors returns the number of file descriptors of this process.
func openDescriptors(t *testing.T) int {
	t.Helper()
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("descriptors cannot be counted here:", err)
	}
	return len(names)
}

// A surge of clients that misbehave in various ways leaks no descriptors, goroutines or connections.
func TestConnectionSurgeLeaksNoResources(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	ln := sidecartest.ListenLoopback(t)
	goroutines, fds := runtime.NumGoroutine(), openDescriptors(t)
	c := testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	c.Connections.Clients = testLimits(8)
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(stop, nil, c, runOptions{}, ln, nil) }()
	addr := ln.Addr().String()
	var clients sync.WaitGroup
	for _, text := range []string{
		"", requestHead("half"), requestHead("x") + "Content-Length: 9\r\n\r\nhalf", "\x00\xff\r\n\r\n", "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n",
		requestHead("good") + "Content-Length: 0\r\n\r\n",
	} {
		for j := range 20 {
			clients.Go(func() {
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				defer nc.Close()
				nc.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
				io.WriteString(nc, text)
				switch j % 3 {
				case 0: // closes at once
				case 1: // sends no more, and waits for the close
					nc.(*net.TCPConn).CloseWrite()
					fallthrough
				case 2:
					io.Copy(io.Discard, nc)
				}
			})
		}
	}
	clients.Wait()
	if got := (call{class: "once", id: "after"}).send(t, addr); got.status != 200 {
		t.Errorf("after the surge: got %+v, want 200", got)
	}
	cancel()
	if err := sidecartest.Await(t, "the end of the sidecar", ended); err != nil {
		t.Error(err)
	}
	for range len(u.Accepted) {
		(<-u.Accepted).Close()
	}
	sidecartest.Eventually(t, "all descriptors but the listener's are closed", func() bool { return openDescriptors(t) <= fds-1 })
	sidecartest.Eventually(t, "all goroutines have ended", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// Evicting a connection and beginning a request on it are mutually exclusive, in either order.
func TestEvictionExcludesBeginningARequest(t *testing.T) {
	ln := sidecartest.ListenLoopback(t)
	l := newLimitedListener(ln, testLimits(1))
	l.start()
	defer l.Close()
	for range 200 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, "x")
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := accepted.(*clientConn)
		l.connStateChanged(c, http.StateIdle)
		var begun, evicted bool
		var both sync.WaitGroup
		both.Go(func() { begun = l.beginRequest(c) })
		both.Go(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			_, evicted = l.evictLocked(&c.entry, time.Now())
		})
		both.Wait()
		if begun == evicted {
			t.Fatalf("got request begun %v and evicted %v, want exactly one", begun, evicted)
		}
		c.Close()
		l.connStateChanged(c, http.StateClosed)
		nc.Close()
		if _, now := l.counters(); now.Open != 0 {
			t.Fatalf("got %+v after the close, want none open", now)
		}
	}
}

// A request in progress at the start of a graceful shutdown is answered, however long its timeout is: a
// class may allow more time than any constant in this package.
func TestGracefulShutdownWaitsForTheLongestRequest(t *testing.T) {
	t.Parallel() // the request is held for longer than 3 s, the usual time limit of a response
	release := make(chan struct{})
	u := sidecartest.NewFakeServer(t, func(sidecartest.ReceivedRequest) (string, bool) {
		<-release
		return sidecartest.OKResponse("ok"), false
	})
	addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	held := call{class: "once", id: "held"}.sendInBackground(t, addr)
	sidecartest.Await(t, "the request", u.Requests)
	stop()
	time.AfterFunc(lateArrivalTime+3200*time.Millisecond, func() { close(release) })
	if got := sidecartest.Await(t, "the response", held); got.status != 200 {
		t.Errorf("a request in progress: got %+v, want 200", got)
	}
	if err := sidecartest.Await(t, "the end of the sidecar", ended); err != nil {
		t.Error(err)
	}
}

// Connections that end without a byte are counted separately by reason.
func TestConnectionsWithoutAByteAreCountedByReason(t *testing.T) {
	t.Parallel() // the test takes the whole header timeout
	ln := sidecartest.ListenLoopback(t)
	l := newLimitedListener(ln, testLimits(4))
	l.start()
	defer l.Close()
	dialFrom(t, "127.0.0.1", ln.Addr().String())
	dialFrom(t, "127.0.0.1", ln.Addr().String()).Close()
	sidecartest.Eventually(t, "both connections are closed", func() bool {
		return l.openConns() == 0 && func() bool { n, _ := l.counters(); return n.Accepted == 2 }()
	})
	if n, _ := l.counters(); n.HeaderTimeouts != 1 || n.ClosedByClient != 1 || n.Admitted != 2 {
		t.Errorf("got %+v, want one header timeout and one close by the client", n)
	}
}

// docs/CONNECTIONS.md names each counter and state of client and upstream connections, and no others.
func TestDocumentationNamesEachCounter(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONNECTIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	named := make(map[string]bool)
	for _, c := range []any{clientCounters{}, listenerState{}, upstream.Counters{}, upstream.State{}} {
		for name := range counters.Values(c) {
			named[name] = false
		}
	}
	for _, m := range regexp.MustCompile("`([A-Z][A-Za-z]+)`").FindAllSubmatch(page, -1) {
		if _, ok := named[string(m[1])]; !ok {
			t.Errorf("docs/CONNECTIONS.md names %s, which does not exist", m[1])
		}
		named[string(m[1])] = true
	}
	for name, ok := range named {
		if !ok {
			t.Errorf("docs/CONNECTIONS.md does not name %s", name)
		}
	}
}
