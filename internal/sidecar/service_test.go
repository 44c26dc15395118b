package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry/registrytest"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/internal/sidecar/upstream"
)

// A graceful shutdown answers the requests in progress, serves connections that still arrive with
// Connection: close, and closes idle connections before it stops listening.
func TestGracefulShutdownLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	u := sidecartest.NewFakeServer(t, func(r sidecartest.ReceivedRequest) (string, bool) {
		if r.Header.Get("Request-Id") == "held" {
			<-release
		}
		return sidecartest.OKResponse("ok"), false
	})
	addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	idle, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	idle.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	call{class: "once", id: "first"}.request(t, addr).Write(idle)
	in := bufio.NewReader(idle)
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("before the shutdown: got %+v, error %v; want 200 without a close", resp, err)
	} else {
		in.Discard(int(resp.ContentLength))
	}
	sidecartest.Await(t, "the first request", u.Requests)
	held := call{class: "once", id: "held"}.sendInBackground(t, addr)
	sidecartest.Await(t, "the held request", u.Requests)
	stop()
	if _, err := in.Peek(1); err == nil { // returns when the idle connection is closed
		t.Error("got unexpected bytes on the idle connection, want a close")
	}
	// The connection is closed after the response: the response must announce it, or the client would send
	// a later request on it.
	fresh, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("a new connection after the shutdown began: %v", err)
	}
	defer fresh.Close()
	fresh.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	call{class: "once", id: "fresh"}.request(t, addr).Write(fresh)
	if resp, err := http.ReadResponse(bufio.NewReader(fresh), nil); err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("on a new connection: got %+v, error %v; want 200 and Connection: close", resp, err)
	}
	select {
	case err := <-ended:
		t.Fatalf("the sidecar ended with a request unanswered: error %v", err)
	case <-time.After(lateArrivalTime): // the sidecar has stopped listening, or is about to
	}
	close(release)
	if got := sidecartest.Await(t, "the held request's response", held); got.status != 200 || got.body != "ok" {
		t.Errorf("the held request: got %+v, want 200 and ok", got)
	}
	if err := sidecartest.Await(t, "the end of the sidecar", ended); err != nil {
		t.Errorf("got error %v at the end, want none", err)
	}
}

// A sidecar that polls the endpoint list reopens its watch after a failure.
func TestPollingSidecarReopensWatch(t *testing.T) {
	g := registrytest.NewServer(t)
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{polls: true}, g.Addr, registrytest.EndpointJSON("s-0", "127.0.0.1:1", "draining", 0)))
	close(sidecartest.Await(t, "the watch", g.Watches).Lines)
	w := sidecartest.Await(t, "the next watch", g.Watches)
	w.Lines <- registrytest.ListJSON(2, false, registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	awaitServed(t, addr)
}

// awaitServed sends requests until one is served, for tests in which a watch event is in transit.
func awaitServed(t *testing.T, addr string) {
	t.Helper()
	for i, deadline := 0, time.Now().Add(sidecartest.WaitTimeout); ; i++ {
		if got := (call{class: "once", id: fmt.Sprint("soon-", i)}).send(t, addr); got.status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("no request was served")
		}
	}
}

// After a reload with a new discovery address, requests in progress are answered, and the endpoint list stays
// in effect until the new address has delivered another. An invalid file changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	old, fresh := registrytest.NewServer(t), registrytest.NewServer(t)
	release := make(chan struct{})
	a := sidecartest.NewFakeServer(t, func(r sidecartest.ReceivedRequest) (string, bool) {
		if r.Header.Get("Request-Id") == "held" {
			<-release
		}
		return sidecartest.OKResponse("a"), false
	})
	b := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("b")))
	c := testConfig(t, options{}, old.Addr, registrytest.EndpointJSON("s-1", a.Addr, "up", 0))
	c.Path = filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(c.Path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := func(discovery string) string {
		return validJSON(t, fmt.Sprintf(`{"discovery":%q,"seed":"1","settings":%s}`, discovery, fmt.Sprintf(testSettings, false, 500, "push")))
	}
	reload := make(chan os.Signal)
	addr, _, _ := startReloadable(t, c, reload)
	w := sidecartest.Await(t, "the watch", old.Watches)
	held := call{class: "once", id: "held"}.sendInBackground(t, addr)
	sidecartest.Await(t, "the held request", a.Requests)
	for _, wrong := range []string{"", "{", good("discovery.internal"), `{"discovery":"127.0.0.1:1"}`} {
		write(wrong)
		reload <- syscall.SIGHUP
	}
	select {
	case w.Lines <- registrytest.ListJSON(2, false): // the old watch is still open
	case <-w.Ended:
		t.Fatal("an invalid file ended the watch")
	}
	write(good(fresh.Addr))
	reload <- syscall.SIGHUP
	sidecartest.Await(t, "the call for the new list", fresh.ListCalls)
	if got := (call{class: "once", id: "meanwhile"}).send(t, addr); got.body != "a" {
		t.Errorf("before the new list: got %+v, want a response from the old server", got)
	}
	fresh.FullLists <- registrytest.ListJSON(1, true, registrytest.EndpointJSON("s-2", b.Addr, "up", 0))
	sidecartest.Await(t, "the new watch", fresh.Watches)
	for i, deadline := 0, time.Now().Add(sidecartest.WaitTimeout); ; i++ {
		if got := (call{class: "once", id: fmt.Sprint(i)}).send(t, addr); got.body == "b" {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("the new list is not in effect: got %+v, want a response from the new server", got)
		}
	}
	close(release)
	if got := sidecartest.Await(t, "the held request's response", held); got.body != "a" {
		t.Errorf("the held request: got %+v, want a response from the old server", got)
	}
}

// A reload applies new limits. A file with invalid limits changes nothing.
func TestReloadChangesLimits(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	c := testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	c.Path = filepath.Join(t.TempDir(), "config.json")
	write := func(connections string) {
		t.Helper()
		text := fmt.Sprintf(`{"discovery":"127.0.0.1:1","seed":"1","connections":%s,"settings":%s}`, connections, fmt.Sprintf(testSettings, false, 500, "push"))
		if err := os.WriteFile(c.Path, []byte(validJSON(t, text)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	reload := make(chan os.Signal)
	addr, _, _ := startReloadable(t, c, reload)
	var kept []net.Conn
	for i := range 4 {
		k := dialFrom(t, "127.0.0.1", addr)
		if got := requestOn(k, fmt.Sprint("kept", i)); got != 200 {
			t.Fatalf("got status %d, want 200", got)
		}
		kept = append(kept, k)
	}
	for _, wrong := range []string{`{"clients":{"idle":-1}}`, `{"clients":{"total":5000}}`, `{"clint":{}}`} {
		write(wrong)
		reload <- syscall.SIGHUP
	}
	for i, k := range kept {
		if got := requestOn(k, fmt.Sprint("again", i)); got != 200 {
			t.Errorf("connection %d after invalid limits: got status %d, want 200", i, got)
		}
	}
	write(`{"clients":{"idle":1}}`)
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP // received after the first has been handled
	open := 0
	for i, k := range kept {
		if requestOn(k, fmt.Sprint("then", i)) == 200 {
			open++
		}
	}
	if open != 1 {
		t.Errorf("got %d idle connections kept, want 1", open)
	}
}

// net/http counts a connection as idle until it has read a request's header. If the connection is closed as
// idle at that time, the request must not be forwarded: the client sends it again.
func TestRequestOnConnectionClosedAsIdleIsNotForwarded(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	serve := newHandlerTest(t, u)
	closed, open := newClientConn(&net.TCPConn{}), newClientConn(&net.TCPConn{})
	closed.closeIdle(false)
	if !serve(closed) || len(u.Requests) > 0 {
		t.Error("a request on a connection that was closed as idle was forwarded")
	}
	if serve(open) || len(u.Requests) != 1 {
		t.Error("a request on an open connection was not forwarded")
	}
	if closeIdleConn(open, true) != connBusy {
		t.Error("a connection was closed as idle with a request in progress")
	}
}

func TestConnectionsAreReused(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{probes: true}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	const requests, interval = 12, upstream.MaxQuarantine + 20*time.Millisecond // each connection has left quarantine before the next request
	for i := range requests {
		if got := (call{class: "keyed", id: fmt.Sprint(i)}).send(t, addr); got.status != 200 {
			t.Fatalf("got %+v, want 200", got)
		}
		time.Sleep(interval)
	}
	if n := len(u.Accepted); n > 4 { // one, and one more for each probe that may be in flight meanwhile
		t.Errorf("got %d connections for %d sequential requests, want at most 4", n, requests)
	}
}
