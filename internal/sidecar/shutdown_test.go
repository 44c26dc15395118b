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

// While all servers drain, attempts in flight finish, and new requests are refused with Retry-After. After a
// cancelled drain, or when a new server replaces the draining one at its address, requests are served again.
func TestServerDrainThroughTheEndpointList(t *testing.T) {
	g := registrytest.NewServer(t)
	release := make(chan struct{})
	u := sidecartest.NewFakeServer(t, func(r sidecartest.ReceivedRequest) (string, bool) {
		if r.Header.Get("Request-Id") == "held" {
			<-release
		}
		return sidecartest.OKResponse("ok"), false
	})
	addr, _, _ := startSidecar(t, testConfig(t, options{latencyObjective: time.Second}, g.Addr, registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
	w := sidecartest.Await(t, "the watch", g.Watches)
	held := call{class: "once", id: "held"}.sendInBackground(t, addr)
	sidecartest.Await(t, "the request", u.Requests)
	sendEntry := func(seq int, host, health string) {
		t.Helper()
		w.Lines <- registrytest.ListJSON(seq, false, registrytest.EndpointJSON(host, u.Addr, health, 0))
		w.Lines <- "" // received once the previous line has been read
	}
	sendEntry(2, "s-1", "draining")
	for i := 0; ; i++ { // until the watch event has reached the loop
		got := call{class: "once", id: fmt.Sprint("late-", i)}.send(t, addr)
		if got.status == http.StatusServiceUnavailable {
			if got.header.Get("Retry-After") == "" {
				t.Error("got a refusal without Retry-After")
			}
			break
		}
		if i == 1000 {
			t.Fatalf("a draining server still gets requests: got %+v", got)
		}
	}
	for len(u.Requests) > 0 {
		<-u.Requests
	}
	close(release)
	if got := sidecartest.Await(t, "the response", held); got.status != 200 {
		t.Errorf("the attempt in flight: got %+v, want 200", got)
	}
	sendEntry(3, "s-1", "up")
	awaitServed(t, addr)
	sendEntry(4, "s-1", "draining")
	sendEntry(5, "s-1", "removed")
	sendEntry(6, "s-2", "up") // at the same address
	awaitServed(t, addr)
}

// The loop notifies the pool once when a drain starts, and when it is cancelled.
func TestServerDrainFollowsTheEndpointList(t *testing.T) {
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0))
	e := l.endpoints.byName["s-1"]
	e.inFlight = 1
	isDraining := func() bool { return l.transport.Pool().ServerState(e.server) == policy.Draining }
	applyHealth := func(health string) {
		l.applyListing(policy.ListDelta, client.ListUpdate{Endpoints: []client.Endpoint{{Host: "s-1", Dial: "127.0.0.1:7", Site: "a", Health: health, Share: 1}}})
	}
	l.clock.now = time.Second
	applyHealth("draining")
	if e.drainingSince != time.Second || !isDraining() {
		t.Errorf("got draining since %v, draining in the pool %v; want 1s and true", e.drainingSince, isDraining())
	}
	l.clock.now = 2 * time.Second
	if applyHealth("draining"); e.drainingSince != time.Second {
		t.Error("the drain restarted when it was notified again")
	}
	if applyHealth("up"); e.drainingSince != 0 || isDraining() {
		t.Error("the drain was not cancelled")
	}
}

// A graceful shutdown passes through its phases during a second signal, a reload and a long request.
func TestPhasesOfAGracefulShutdown(t *testing.T) {
	release := make(chan struct{})
	u := sidecartest.NewFakeServer(t, func(sidecartest.ReceivedRequest) (string, bool) {
		<-release
		return sidecartest.OKResponse("ok"), false
	})
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
	held := call{class: "once", id: "held"}.sendInBackground(t, addr)
	sidecartest.Await(t, "the request", u.Requests)
	stop()
	sidecartest.Eventually(t, "the sidecar is draining", func() bool { return phase() == "503 draining\n" })
	stop()
	reload <- syscall.SIGHUP
	sidecartest.Await(t, "the list call at the new address", fresh.ListCalls)
	sidecartest.Eventually(t, "the listener is closed", func() bool { c, err := net.Dial("tcp", addr); closeIf(c, err); return err != nil })
	select {
	case err := <-ended:
		t.Fatalf("the sidecar ended with a request unanswered: error %v", err)
	default:
	}
	close(release)
	if got := sidecartest.Await(t, "the response", held); got.status != 200 {
		t.Errorf("the request: got %+v, want 200", got)
	}
	if err := sidecartest.Await(t, "the end of the sidecar", ended); err != nil {
		t.Error(err)
	}
}

func closeIf(c net.Conn, err error) {
	if err == nil {
		c.Close()
	}
}

// A shutdown ends by the applicable deadline: before the sidecar has an endpoint list, with a server that
// never responds, and with a client that never reads.
func TestGracefulShutdownUnderFaults(t *testing.T) {
	t.Run("before it is ready", func(t *testing.T) {
		_, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1"))
		stop()
		if err := sidecartest.Await(t, "the end of the sidecar", ended); err != nil {
			t.Error(err)
		}
	})
	t.Run("a server that never answers", func(t *testing.T) {
		t.Parallel() // the test takes the request's whole timeout
		u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(""))
		addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
		held := call{class: "once", id: "held", timeout: "1.5"}.sendInBackground(t, addr)
		sidecartest.Await(t, "the request", u.Requests)
		stop()
		if got := sidecartest.Await(t, "the response", held); got.status != http.StatusGatewayTimeout {
			t.Errorf("the request: got %+v, want 504", got)
		}
		if err := sidecartest.Await(t, "the end of the sidecar", ended); err != nil {
			t.Error(err)
		}
	})
	t.Run("a client that never reads", func(t *testing.T) {
		t.Parallel()
		big := make([]byte, upstream.MaxResponseBody)
		u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse(string(big))))
		addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
		c := dialFrom(t, "127.0.0.1", addr)
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		call{class: "once", id: "unread", timeout: "0.5"}.request(t, addr).Write(c)
		sidecartest.Await(t, "the request", u.Requests)
		stop()
		if err := sidecartest.Await(t, "the end of the sidecar", ended); err != nil {
			t.Error(err)
		}
	})
}

// Only the first call of start has an effect.
func TestShutdownBeginsOnce(t *testing.T) {
	l := newLimitedListener(sidecartest.ListenLoopback(t), testLimits(1))
	l.start()
	defer l.Close()
	shutdown := testShutdown(l)
	shutdown.start()
	begun := shutdown.startedAt
	shutdown.start()
	if shutdown.startedAt != begun || shutdown.phase() != phaseDraining {
		t.Errorf("start twice: got start times %v and %v, phase %v; want one time, draining", begun, shutdown.startedAt, shutdown.phase())
	}
	if done, err := shutdown.advance(); done || err != nil || shutdown.phase() != phaseFinishing {
		t.Errorf("advance: got %v, error %v, phase %v; want false, nil, finishing", done, err, shutdown.phase())
	}
	sidecartest.Await(t, "the close of the last connection", shutdown.phaseDue())
	if done, err := shutdown.advance(); !done || err != nil || shutdown.phase() != phaseEnded {
		t.Errorf("advance again: got %v, error %v, phase %v; want true, nil, ended", done, err, shutdown.phase())
	}
}

// Connections in the listener's backlog at a shutdown are served: the kernel has established them, and their
// clients have sent requests.
func TestBacklogIsServedAtShutdown(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("ok")))
	_, limited, shutdown := newClientSide(t, u, nil)
	shutdown.start()
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
		c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode >= 500 && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("connection %d: got response %+v, error %v; want a status below 500, or 503", i, resp, err)
		}
	}
}
