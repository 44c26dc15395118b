package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/internal/registry/registrytest"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// Through the event loop: attempts in flight at a draining server end, a drain that is called off and
// one of a server that is replaced at its address leave nothing behind, and a client is refused with
// Retry-After while all servers drain.
func TestServerDrainThroughTheEndpointList(t *testing.T) {
	g := registrytest.NewServer(t)
	release := make(chan struct{})
	u := sidecartest.NewFakeServer(t, func(r sidecartest.Received) (string, bool) {
		if r.Header.Get("Request-Id") == "held" {
			<-release
		}
		return sidecartest.OKResponse("ok"), false
	})
	addr, _, _ := startSidecar(t, testConfig(t, options{aim: time.Second}, g.Addr, registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	w := sidecartest.Await(t, "the watch", g.Watches)
	held := call{class: "once", id: "held"}.start(t, addr)
	sidecartest.Await(t, "the request", u.Requests)
	tell := func(seq int, host, health string) {
		t.Helper()
		w.Lines <- registrytest.ListJSON(seq, false, registrytest.EndpointJSON(host, u.Addr, health, 0))
		w.Lines <- "" // received after the line before has been read
	}
	tell(2, "s-1", "draining")
	for i := 0; ; i++ { // the watch event is on its way to the loop
		got := call{class: "once", id: fmt.Sprint("late-", i)}.do(t, addr)
		if got.status == http.StatusServiceUnavailable {
			if got.header.Get("Retry-After") == "" {
				t.Error("refused without Retry-After")
			}
			break
		}
		if i == 1000 {
			t.Fatalf("a draining server gets requests: %+v", got)
		}
	}
	for len(u.Requests) > 0 {
		<-u.Requests
	}
	close(release)
	if got := sidecartest.Await(t, "the response", held); got.status != 200 {
		t.Errorf("the attempt in flight: got %+v, want 200", got)
	}
	tell(3, "s-1", "up")
	serveSoon(t, addr)
	tell(4, "s-1", "draining")
	tell(5, "s-1", "removed")
	tell(6, "s-2", "up") // at the same address
	serveSoon(t, addr)
}

// The loop passes a drain to the pool once, and its end.
func TestServerDrainFollowsTheEndpointList(t *testing.T) {
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0))
	h := l.endpoints.byName["s-1"]
	h.inFlight = 1
	drains := func() bool { return l.transport.Pool().ServerState(h.server) == policy.Draining }
	change := func(health string) {
		l.applyListing(policy.ListDelta, client.ListUpdate{Endpoints: []client.Endpoint{{Host: "s-1", Dial: "127.0.0.1:7", Site: "a", Health: health, Share: 1}}})
	}
	l.clock.now = time.Second
	change("draining")
	if h.drainingSince != time.Second || !drains() {
		t.Errorf("got draining since %v, in the pool %v; want 1s and true", h.drainingSince, drains())
	}
	l.clock.now = 2 * time.Second
	if change("draining"); h.drainingSince != time.Second {
		t.Error("the drain began anew when it was notified again")
	}
	if change("up"); h.drainingSince != 0 || drains() {
		t.Error("the drain was not called off")
	}
}

// The phases of a graceful shutdown, with a second signal, a reload and a long request meanwhile.
func TestPhasesOfAGracefulShutdown(t *testing.T) {
	release := make(chan struct{})
	u := sidecartest.NewFakeServer(t, func(sidecartest.Received) (string, bool) { <-release; return sidecartest.OKResponse("ok"), false })
	old, fresh := registrytest.NewServer(t), registrytest.NewServer(t)
	c := testConfig(t, options{}, old.Addr, registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	c.Path = filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"discovery":%q,"seed":"1","settings":%s}`, fresh.Addr, fmt.Sprintf(testSettings, false, 500, "push"))
	if err := os.WriteFile(c.Path, []byte(validJSON(t, text)), 0o600); err != nil {
		t.Fatal(err)
	}
	reload := make(chan os.Signal)
	addr, stop, ended := startReloadable(t, c, reload)
	sidecartest.Await(t, "the watch", old.Watches)
	phase := func() string {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, " ", string(text))
	}
	if got := phase(); got != "200 serving\n" {
		t.Errorf("before the shutdown: got %q, want 200 serving", got)
	}
	held := call{class: "once", id: "held"}.start(t, addr)
	sidecartest.Await(t, "the request", u.Requests)
	stop()
	sidecartest.Eventually(t, "it drains", func() bool { return phase() == "503 draining\n" })
	stop()
	reload <- syscall.SIGHUP
	sidecartest.Await(t, "the list call at the new address", fresh.ListCalls)
	sidecartest.Eventually(t, "the listener is closed", func() bool { c, err := net.Dial("tcp", addr); closeIf(c, err); return err != nil })
	select {
	case err := <-ended:
		t.Fatalf("ended with a request unanswered: %v", err)
	default:
	}
	close(release)
	if got := sidecartest.Await(t, "the response", held); got.status != 200 {
		t.Errorf("the request: got %+v", got)
	}
	if err := sidecartest.Await(t, "the end", ended); err != nil {
		t.Error(err)
	}
}

func closeIf(c net.Conn, err error) {
	if err == nil {
		c.Close()
	}
}

// A signal before the sidecar has a list, a server that never answers, and a client that never reads:
// the shutdown ends by the deadline of each.
func TestGracefulShutdownUnderFaults(t *testing.T) {
	t.Run("before it is ready", func(t *testing.T) {
		_, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1"))
		stop()
		if err := sidecartest.Await(t, "the end", ended); err != nil {
			t.Error(err)
		}
	})
	t.Run("a server that never answers", func(t *testing.T) {
		t.Parallel() // it takes the request's whole timeout
		u := sidecartest.NewFakeServer(t, sidecartest.Always(""))
		addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
		held := call{class: "once", id: "held", timeout: "1.5"}.start(t, addr)
		sidecartest.Await(t, "the request", u.Requests)
		stop()
		if got := sidecartest.Await(t, "the response", held); got.status != http.StatusGatewayTimeout {
			t.Errorf("the request: got %+v", got)
		}
		if err := sidecartest.Await(t, "the end", ended); err != nil {
			t.Error(err)
		}
	})
	t.Run("a client that never reads", func(t *testing.T) {
		t.Parallel()
		big := make([]byte, upstream.MaxResponseBody)
		u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse(string(big))))
		addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
		c := dialFrom(t, "127.0.0.1", addr)
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		call{class: "once", id: "unread", timeout: "0.5"}.request(t, addr).Write(c)
		sidecartest.Await(t, "the request", u.Requests)
		stop()
		if err := sidecartest.Await(t, "the end", ended); err != nil {
			t.Error(err)
		}
	})
}

// begin acts once, whatever is called later.
func TestShutdownBeginsOnce(t *testing.T) {
	l := newLimitedListener(sidecartest.ListenLoopback(t), testLimits(1))
	l.start()
	defer l.Close()
	d := testShutdown(l)
	d.begin()
	begun := d.begunAt
	d.begin()
	if d.begunAt != begun || d.phase() != phaseDraining {
		t.Errorf("got begun at %v and again at %v, phase %v; want once, draining", begun, d.begunAt, d.phase())
	}
	if done, err := d.advance(); done || err != nil || d.phase() != phaseFinishing {
		t.Errorf("advance: got %v, error %v, phase %v; want false, nil, finishing", done, err, d.phase())
	}
	sidecartest.Await(t, "the close of the last connection", d.phaseDue())
	if done, err := d.advance(); !done || err != nil || d.phase() != phaseEnded {
		t.Errorf("advance again: got %v, error %v, phase %v; want true, nil, ended", done, err, d.phase())
	}
}

// Connections in the listener's backlog at a shutdown are served: the kernel has established them, and
// requests were sent on them.
func TestBacklogIsServedAtShutdown(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	_, limited, ending := newClientSide(t, u, nil)
	ending.begin()
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", limited.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, requestHead(fmt.Sprint("b", len(conns)))+"Content-Length: 0\r\n\r\n")
		conns = append(conns, c)
	}
	limited.acceptBacklog()
	limited.stopAccepting()
	for i, c := range conns {
		c.SetDeadline(time.Now().Add(sidecartest.Patience))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode >= 500 && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("connection %d: got %+v, %v", i, resp, err)
		}
	}
}
