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

// Through the loop: requests under way are counted to their end, a drain called off
// and one of a server replaced at its address leave nothing behind, and where all
// servers drain a client is told to come back.
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
	sidecartest.Await(t, "the held one", u.Requests)
	tell := func(seq int, host, health string) {
		t.Helper()
		w.Lines <- registrytest.ListJSON(seq, false, registrytest.EndpointJSON(host, u.Addr, health, 0))
		w.Lines <- "" // taken once the one before has been read
	}
	tell(2, "s-1", "draining")
	for i := 0; ; i++ { // the news is on its way to the loop
		got := call{class: "once", id: fmt.Sprint("late-", i)}.do(t, addr)
		if got.status == http.StatusServiceUnavailable {
			if got.header.Get("Retry-After") == "" {
				t.Error("refused without a word on when to come back")
			}
			break
		}
		if i == 1000 {
			t.Fatalf("a server that drains gets requests: %+v", got)
		}
	}
	for len(u.Requests) > 0 {
		<-u.Requests
	}
	close(release)
	if got := sidecartest.Await(t, "the held one's answer", held); got.status != 200 {
		t.Errorf("what ran: %+v", got)
	}
	tell(3, "s-1", "up")
	serveSoon(t, addr)
	tell(4, "s-1", "draining")
	tell(5, "s-1", "removed")
	tell(6, "s-2", "up") // at the same address
	serveSoon(t, addr)
}

// The loop counts what runs at a server that drains.
func TestServerDrainFollowsTheEndpointList(t *testing.T) {
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", "127.0.0.1:7", "up", 0))
	h := l.endpoints["s-1"]
	h.inFlight = 1
	drains := func() bool { return l.transport.Pool().ServerState(h.peer) == policy.Draining }
	change := func(health string) {
		l.applyListing(policy.ListDelta, client.ListUpdate{Endpoints: []client.Endpoint{{Host: "s-1", Dial: "127.0.0.1:7", Site: "a", Health: health, Share: 1}}})
	}
	l.now = time.Second
	change("draining")
	if h.drainingSince != time.Second || !drains() {
		t.Errorf("got draining since %v, in the pool %v; want 1s and true", h.drainingSince, drains())
	}
	l.now = 2 * time.Second
	if change("draining"); h.drainingSince != time.Second {
		t.Error("told again, the drain began anew")
	}
	if change("up"); h.drainingSince != 0 || drains() {
		t.Error("the drain was not called off")
	}
}

// The phases of a planned end, and what a second signal, a new configuration and a
// client without end do meanwhile.
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
		t.Errorf("before: %q", got)
	}
	held := call{class: "once", id: "held"}.start(t, addr)
	sidecartest.Await(t, "the held one", u.Requests)
	stop()
	sidecartest.Eventually(t, "it drains", func() bool { return phase() == "503 draining\n" })
	stop()
	reload <- syscall.SIGHUP
	sidecartest.Await(t, "the call at the new address", fresh.ListCalls)
	sidecartest.Eventually(t, "the listener is closed", func() bool { c, err := net.Dial("tcp", addr); closeIf(c, err); return err != nil })
	select {
	case err := <-ended:
		t.Fatalf("ended with a request unanswered: %v", err)
	default:
	}
	close(release)
	if got := sidecartest.Await(t, "the held one's answer", held); got.status != 200 {
		t.Errorf("the held one: %+v", got)
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

// A signal before the sidecar has a list, an attempt that never ends, and a client
// that never reads: each comes to an end by its own deadline.
func TestGracefulShutdownUnderFaults(t *testing.T) {
	t.Run("before it is ready", func(t *testing.T) {
		_, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1"))
		stop()
		if err := sidecartest.Await(t, "the end", ended); err != nil {
			t.Error(err)
		}
	})
	t.Run("an attempt that never ends", func(t *testing.T) {
		t.Parallel() // it takes the request's whole time
		u := sidecartest.NewFakeServer(t, sidecartest.Always(""))
		addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0)))
		held := call{class: "once", id: "held", timeout: "1.5"}.start(t, addr)
		sidecartest.Await(t, "the held one", u.Requests)
		stop()
		if got := sidecartest.Await(t, "its answer", held); got.status != http.StatusGatewayTimeout {
			t.Errorf("the held one: %+v", got)
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

// begin acts once, whatever comes later.
func TestShutdownBeginsOnce(t *testing.T) {
	l := newLimitedListener(sidecartest.ListenLoopback(t), testLimits(1))
	l.start()
	defer l.Close()
	d := testShutdown(l)
	d.begin()
	begun := d.begunAt
	d.begin()
	if d.begunAt != begun || d.phase() != phaseDraining {
		t.Errorf("begun at %v and again at %v, phase %v", begun, d.begunAt, d.phase())
	}
	if done, err := d.advance(); done || err != nil || d.phase() != phaseFinishing {
		t.Errorf("then: done %v, error %v, phase %v", done, err, d.phase())
	}
	sidecartest.Await(t, "the last connection's end", d.phaseDue())
	if done, err := d.advance(); !done || err != nil || d.phase() != phaseEnded {
		t.Errorf("at the end: done %v, error %v, phase %v", done, err, d.phase())
	}
}

// Connections that wait in the kernel's queue as the listener ends are served: the machine has
// accepted them, and requests were written to them.
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
			t.Errorf("connection %d: %+v, %v", i, resp, err)
		}
	}
}
