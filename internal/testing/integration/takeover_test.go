package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// sidecarSlot is the address, hand-over socket and configuration that successive sidecar processes use.
type sidecarSlot struct {
	t          testing.TB
	addr       string
	socket     string
	config     string
	baseConfig map[string]any
}

func newSidecarSlot(t testing.TB, discovery []string, readyIn time.Duration) *sidecarSlot {
	t.Helper()
	p := &sidecarSlot{t: t, addr: freeAddr(t), socket: filepath.Join(t.TempDir(), "takeover.sock")}
	p.baseConfig = map[string]any{
		"name": "n7", "listen": p.addr, "discovery": discovery[0], "discovery_replicas": discovery[1:], "seed": "8c1f30d27a5be967",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512}, "settings": json.RawMessage(settings),
		"takeover": map[string]any{"socket": p.socket, "ready_ms": readyIn.Milliseconds()},
	}
	p.config = writeFile(t, "sidecar.json", p.baseConfig)
	return p
}

// startProcess starts another process for the slot.
func (p *sidecarSlot) startProcess(name string) *sidecarProcess {
	s := &sidecarProcess{addr: p.addr}
	s.process = newProcess(p.t, name, "sidecar", "ROUTER_CONFIG="+p.config)
	s.start()
	return s
}

func (s *sidecarProcess) logContains(text string) bool { return strings.Contains(s.log.String(), text) }

// Successive hand-overs between processes under load: every request gets exactly one response, no
// connection is refused or reset, and each predecessor ends.
func TestTakeOverUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	g := startRegistryGroup(t, 1)
	var servers []*bookingServer
	for i := range 3 {
		b := startBookingServer(t, fmt.Sprint("s-", i), "m", 15*time.Millisecond)
		b.register(t, g.client(), 10*time.Second)
		servers = append(servers, b)
	}
	slot := newSidecarSlot(t, g.addrs(), eventTimeout)
	current := slot.startProcess("sidecar 0")
	current.ready()
	l := startLoad(t, 6, current) // the address stays the same for all processes
	// A client connects all the time, and each connection must be accepted.
	ctx, cancel := context.WithCancel(context.Background())
	refused := make(chan int, 1)
	go func() {
		n := 0
		for ctx.Err() == nil {
			c, err := net.Dial("tcp", slot.addr)
			if err != nil {
				n++
				continue
			}
			c.Close()
			time.Sleep(time.Millisecond)
		}
		refused <- n
	}()
	var endTimes []time.Duration
	for i := range 5 {
		l.awaitSent(t, 150)
		successor := slot.startProcess(fmt.Sprint("sidecar ", i+1))
		eventually(t, "the successor serves", func() bool { return successor.logContains("msg=serving") })
		began := time.Now()
		current.wait()
		endTimes = append(endTimes, time.Since(began).Round(time.Millisecond))
		current = successor
	}
	l.awaitSent(t, 150)
	l.end()
	cancel()
	served, refusedRequests, lost := l.checkResults(t, servers)
	refusedConns := <-refused
	t.Logf("%d requests over 5 hand-overs: %d served, %d refused, %d lost; %d connections refused; the predecessors ended after %v",
		l.sent.Load(), served, refusedRequests, lost, refusedConns, endTimes)
	if refusedRequests > 0 || lost > 0 || refusedConns > 0 {
		t.Errorf("%d requests refused, %d lost, %d connections refused; want none", refusedRequests, lost, refusedConns)
	}
}

// If a successor fails before the hand-over, the predecessor continues to serve, and a later successor
// can take over.
func TestFailedTakeOver(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	g := startRegistryGroup(t, 1)
	b := startBookingServer(t, "s-0", "m", time.Millisecond)
	b.register(t, g.client(), 10*time.Second)
	slot := newSidecarSlot(t, g.addrs(), time.Second) // one case waits until this time is over
	current := slot.startProcess("predecessor")
	current.ready()
	l := startLoad(t, 2, current)
	writeConfig := func(change func(c map[string]any)) string {
		c := make(map[string]any)
		for k, v := range slot.baseConfig {
			c[k] = v
		}
		change(c)
		return writeFile(t, "changed.json", c)
	}
	validConfig := slot.config
	for name, x := range map[string]struct {
		config  string
		signal  syscall.Signal
		wantLog string
	}{
		"a configuration that cannot be read": {writeConfig(func(c map[string]any) { c["connections"] = 7 }), 0, "connections"},
		"another name":                        {writeConfig(func(c map[string]any) { c["name"] = "n8" }), 0, "the other process says"},
		"never ready":                         {writeConfig(func(c map[string]any) { c["discovery"] = freeAddr(t) }), 0, "no list within"},
		"killed before it is ready":           {writeConfig(func(c map[string]any) { c["discovery"] = freeAddr(t) }), syscall.SIGKILL, ""},
		"ended before it is ready":            {writeConfig(func(c map[string]any) { c["discovery"] = freeAddr(t) }), syscall.SIGTERM, ""},
	} {
		slot.config = x.config
		successor := slot.startProcess(name)
		if x.signal != 0 {
			eventually(t, "the successor has begun the hand-over", func() bool { return successor.logContains("taking over") })
			successor.signal(x.signal)
		}
		select {
		case err := <-successor.ended:
			if successor.cmd = nil; x.wantLog != "" && (err == nil || !successor.logContains(x.wantLog)) {
				t.Errorf("%s: the successor ended with %v:\n%s", name, err, successor.log)
			}
			if err := successor.checkEnd(err); x.signal == syscall.SIGTERM && err != nil {
				t.Errorf("%s: the successor did not shut down gracefully: %v", name, err)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("%s: the successor did not end within the event timeout", name)
		}
		l.awaitSent(t, 50)
		if !current.alive() {
			t.Fatalf("%s: the predecessor has ended, want it to serve", name)
		}
	}
	// Invalid messages on the socket, and a connection without any, do not block a hand-over.
	for _, noise := range []string{"", "{\n", strings.Repeat("x", 100_000) + "\n", `{"kind":"ready"}` + "\n"} {
		c, err := net.Dial("unix", slot.socket)
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte(noise))
		if noise == "" {
			defer c.Close()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.Close()
	}
	slot.config = validConfig
	var successor *sidecarProcess
	eventually(t, "a valid successor serves", func() bool {
		if successor == nil || !successor.alive() { // the predecessor refused it, so it has to try again
			if successor != nil {
				successor.cmd = nil // its end is expected
			}
			successor = slot.startProcess("successor")
		}
		return successor.logContains("msg=serving")
	})
	current.wait()
	l.awaitSent(t, 50)
	l.end()
	if served, refused, lost := l.checkResults(t, []*bookingServer{b}); refused > 0 || lost > 0 {
		t.Errorf("%d served, %d refused, %d lost; want none refused or lost", served, refused, lost)
	}
	if info, err := os.Stat(slot.socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the hand-over socket: got %v, error %v, want mode 0600", info, err)
	}
	successor.signal(syscall.SIGTERM)
	successor.wait()
	if _, err := os.Stat(slot.socket); !os.IsNotExist(err) {
		t.Errorf("the hand-over socket still exists after the shutdown (error %v)", err)
	}
}

// A predecessor without connections ends at once after the hand-over. The successor must still receive
// the message that completes the hand-over.
func TestTakeOverWithoutConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	g := startRegistryGroup(t, 1)
	startBookingServer(t, "s-0", "m", time.Millisecond).register(t, g.client(), 10*time.Second)
	slot := newSidecarSlot(t, g.addrs(), eventTimeout)
	current := slot.startProcess("predecessor")
	current.ready()
	for i := range 10 {
		successor := slot.startProcess(fmt.Sprint("successor ", i))
		eventually(t, "the successor serves or has ended", func() bool { return successor.logContains("msg=serving") || !successor.alive() })
		if !successor.alive() {
			t.Fatalf("hand-over %d: the successor ended:\n%s", i, successor.log)
		}
		current.wait()
		current = successor
	}
}
