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
	"barleywick/policy"
)

// A planned restart: what was taken is answered, connections that still come are
// served and told to close, and idle ones are closed before the listener goes.
func TestPlannedRestartLosesNothing(t *testing.T) {
	release := make(chan struct{})
	u := sidecartest.NewFakeServer(t, func(r sidecartest.Received) (string, bool) {
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
	idle.SetDeadline(time.Now().Add(sidecartest.Patience))
	call{class: "once", id: "first"}.request(t, addr).Write(idle)
	in := bufio.NewReader(idle)
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("before the restart: %+v, error %v", resp, err)
	} else {
		in.Discard(int(resp.ContentLength))
	}
	sidecartest.Await(t, "the first", u.Requests)
	held := call{class: "once", id: "held"}.start(t, addr)
	sidecartest.Await(t, "the held one", u.Requests)
	stop()
	if _, err := in.Peek(1); err == nil { // returns when the idle connection is closed
		t.Error("bytes nobody asked for")
	}
	// A kept connection would be closed under a later request: the answer must tell.
	fresh, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("a new connection after the announcement: %v", err)
	}
	defer fresh.Close()
	fresh.SetDeadline(time.Now().Add(sidecartest.Patience))
	call{class: "once", id: "fresh"}.request(t, addr).Write(fresh)
	if resp, err := http.ReadResponse(bufio.NewReader(fresh), nil); err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("on a new connection: %+v, error %v; want 200 and close", resp, err)
	}
	select {
	case err := <-ended:
		t.Fatalf("ended with a request unanswered: %v", err)
	case <-time.After(lateArrivalTime): // the listener has gone or is about to
	}
	close(release)
	if got := sidecartest.Await(t, "the held one's answer", held); got.status != 200 || got.body != "ok" {
		t.Errorf("the held one: %+v", got)
	}
	if err := sidecartest.Await(t, "the end", ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// net/http counts a connection as idle until it has read a request's header. A
// connection closed as idle in that moment must not have its request taken: the
// client sends it once more.
func TestRequestOnAConnectionClosedAsIdleIsLeftAlone(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	serve := newHandlerTest(t, u)
	closed, open := newClientConn(&net.TCPConn{}), newClientConn(&net.TCPConn{})
	closed.closeIdle(false)
	if !serve(closed) || len(u.Requests) > 0 {
		t.Error("a request of a connection that was closed as idle was taken")
	}
	if serve(open) || len(u.Requests) != 1 {
		t.Error("a request of an open connection was not taken")
	}
	if closeIdleConn(open, true) != connBusy {
		t.Error("a connection was closed under a request that had been taken")
	}
}

func TestConnectionsAreReused(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{probes: true}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	const requests, apart = 12, upstream.MaxQuarantine + 20*time.Millisecond // each connection has rested by the next request
	for i := range requests {
		if got := (call{class: "keyed", id: fmt.Sprint(i)}).do(t, addr); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
		time.Sleep(apart)
	}
	if n := len(u.Accepted); n > 4 { // one, and one more for each probe that may be out meanwhile
		t.Errorf("%d connections for %d requests in turn", n, requests)
	}
}

// The module matches a server's probe results to its calls by their order.
func TestProbeResultsKeepTheirOrder(t *testing.T) {
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0))
	h := l.endpoints.byName["s-1"]
	first, second := &pendingProbe{endpoint: h}, &pendingProbe{endpoint: h}
	h.probes = []*pendingProbe{first, second}
	probeCompleted{second, true, policy.LoadReport{InFlight: 1}}.handle(l)
	if len(h.probes) != 2 {
		t.Fatal("the second result went before the first")
	}
	probeCompleted{first, false, policy.UnknownLoad}.handle(l)
	if len(h.probes) != 0 {
		t.Errorf("%d results are held back", len(h.probes))
	}
}

// A timer that fires early must not be lost: the module would pass it over and
// never ask again.
func TestEarlyTimerIsArmedAgain(t *testing.T) {
	l := newTestLoop(t)
	due := l.wakeTimer.due // as the module asked at its start
	l.clock.now = due - time.Millisecond
	l.wake()
	if due == 0 || l.wakeTimer.due != due {
		t.Fatal("an early timer disarmed the alarm")
	}
	for l.clock.now < due { // it is armed for what was left at the made-up time, and so early again
		sidecartest.Await(t, "the timer", l.wakeTimer.timer.C)
		l.clock.now = l.clock.read()
		l.wake()
	}
	if l.wakeTimer.due <= due {
		t.Error("the module was not woken: it would have asked for a later time")
	}
}

func TestExactlyOneAnswer(t *testing.T) {
	l := newTestLoop(t)
	r := &request{Request: upstream.Request{ID: "x"}, id: 7, result: make(chan response, 1)}
	l.requests.byID[r.id] = r
	l.requests.ids.reserve(r.ID)
	l.Fail(r.id)
	l.Fail(r.id)
	l.Refuse(r.id, 0)
	clientDisconnected{r}.handle(l)
	if a := sidecartest.Await(t, "the answer", r.result); a.status != http.StatusBadGateway || len(r.result) > 0 {
		t.Errorf("answered %d, and %d times more", a.status, len(r.result))
	}
	if len(l.requests.byID) > 0 || l.requests.ids.isInUse(r.ID) {
		t.Errorf("%d requests are still held, name held: %v", len(l.requests.byID), l.requests.ids.isInUse(r.ID))
	}
}

// An answer that comes when its client has left finds nobody, but must not
// leave the request behind.
func TestLateAnswerLeavesNothingBehind(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(""))
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	r := call{class: "once"}.request(t, u.Addr)
	held := &request{
		Request: upstream.Request{ID: "x", Method: r.Method, URL: r.URL, Host: r.Host, Header: r.Header},
		class:   2, clientDeadline: time.Now().Add(sidecartest.Patience),
		result: make(chan response, 1),
	}
	l.clock.now = l.clock.read()
	requestArrived{held}.handle(l)
	sidecartest.Await(t, "the attempt", u.Requests)
	clientDisconnected{held}.handle(l)
	attemptEnded{held.attempts[0], policy.Served, &upstream.Response{}}.handle(l)
	if len(l.requests.byID) > 0 || len(held.result) > 0 {
		t.Errorf("%d requests are still held, %d answers given", len(l.requests.byID), len(held.result))
	}
}

// At the deadline the module may give up before the attempt's own time-out
// comes in: the client is told of a time-out either way.
func TestTimeOutIsToldWhoeverNoticesFirst(t *testing.T) {
	l := newTestLoop(t)
	for want, r := range map[int]*request{
		http.StatusGatewayTimeout: {Request: upstream.Request{ID: "out"}, id: 7, inFlight: 1, result: make(chan response, 1)},
		http.StatusBadGateway:     {Request: upstream.Request{ID: "broken"}, id: 8, result: make(chan response, 1)},
	} {
		l.requests.byID[r.id] = r
		l.Fail(r.id)
		if a := sidecartest.Await(t, "the answer", r.result); a.status != want {
			t.Errorf("%s: answered %d, want %d", r.ID, a.status, want)
		}
	}
}

// A new configuration under way: requests that are held are answered, the held
// list stays in force until the new address has brought another, and a file
// that cannot be used changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	old, fresh := registrytest.NewServer(t), registrytest.NewServer(t)
	release := make(chan struct{})
	a := sidecartest.NewFakeServer(t, func(r sidecartest.Received) (string, bool) {
		if r.Header.Get("Request-Id") == "held" {
			<-release
		}
		return sidecartest.OKResponse("a"), false
	})
	b := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("b")))
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
	held := call{class: "once", id: "held"}.start(t, addr)
	sidecartest.Await(t, "the held one", a.Requests)
	for _, wrong := range []string{"", "{", good("discovery.internal"), `{"discovery":"127.0.0.1:1"}`} {
		write(wrong)
		reload <- syscall.SIGHUP
	}
	select {
	case w.Lines <- registrytest.ListJSON(2, false): // the old watch is still read
	case <-w.Ended:
		t.Fatal("a wrong file ended the watch")
	}
	write(good(fresh.Addr))
	reload <- syscall.SIGHUP
	sidecartest.Await(t, "the call for the new list", fresh.ListCalls)
	if got := (call{class: "once", id: "meanwhile"}).do(t, addr); got.body != "a" {
		t.Errorf("without a new list: %+v", got)
	}
	fresh.FullLists <- registrytest.ListJSON(1, true, registrytest.EndpointJSON("s-2", b.Addr, "up", 0))
	sidecartest.Await(t, "the new watch", fresh.Watches)
	for i, deadline := 0, time.Now().Add(sidecartest.Patience); ; i++ {
		if got := (call{class: "once", id: fmt.Sprint(i)}).do(t, addr); got.body == "b" {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("the new list is not in force: %+v", got)
		}
	}
	close(release)
	if got := sidecartest.Await(t, "the held one's answer", held); got.body != "a" {
		t.Errorf("the held one: %+v", got)
	}
}
