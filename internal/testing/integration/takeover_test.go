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

// place is where sidecars take each other's place.
type place struct {
	t      testing.TB
	addr   string
	socket string
	config string
	first  map[string]any
}

func newPlace(t testing.TB, discovery []string, readyIn time.Duration) *place {
	t.Helper()
	p := &place{t: t, addr: freeAddr(t), socket: filepath.Join(t.TempDir(), "takeover.sock")}
	p.first = map[string]any{
		"name": "n7", "listen": p.addr, "discovery": discovery[0], "discovery_replicas": discovery[1:], "seed": "8c1f30d27a5be967",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512}, "settings": json.RawMessage(settings),
		"takeover": map[string]any{"socket": p.socket, "ready_ms": readyIn.Milliseconds()},
	}
	p.config = writeFile(t, "sidecar.json", p.first)
	return p
}

// process is one more process for the place.
func (p *place) process(name string) *sidecarProcess {
	s := &sidecarProcess{addr: p.addr}
	s.process = newProcess(p.t, name, "sidecar", "ROUTER_CONFIG="+p.config)
	s.start()
	return s
}

func (s *sidecarProcess) says(what string) bool { return strings.Contains(s.log.String(), what) }

// A process takes the place of another under load, again and again: every request
// gets its one answer, no connection is refused or reset, and the old one ends.
func TestTakeOverUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	g := startRegistries(t, 1)
	var servers []*booking
	for i := range 3 {
		b := startBooking(t, fmt.Sprint("s-", i), "m", 15*time.Millisecond)
		b.register(t, g.client(), 10*time.Second)
		servers = append(servers, b)
	}
	p := newPlace(t, g.addrs(), patience)
	now := p.process("sidecar 0")
	now.ready()
	l := startLoad(t, 6, now) // by its address, which stays
	// Somebody connects all the while, and is to be let in each time.
	ctx, cancel := context.WithCancel(context.Background())
	refused := make(chan int, 1)
	go func() {
		n := 0
		for ctx.Err() == nil {
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				n++
				continue
			}
			c.Close()
			time.Sleep(time.Millisecond)
		}
		refused <- n
	}()
	var beyond []time.Duration
	for i := range 5 {
		l.await(t, 150)
		next := p.process(fmt.Sprint("sidecar ", i+1))
		eventually(t, "the new one serves", func() bool { return next.says("msg=serving") })
		begun := time.Now()
		now.wait()
		beyond = append(beyond, time.Since(begun).Round(time.Millisecond))
		now = next
	}
	l.await(t, 150)
	l.end()
	cancel()
	served, refusedRequests, lost := l.account(t, servers)
	n := <-refused
	t.Logf("%d requests over 5 take-overs: %d served, %d refused, %d lost; %d connections refused; the old ones ended after %v",
		l.sent.Load(), served, refusedRequests, lost, n, beyond)
	if refusedRequests > 0 || lost > 0 || n > 0 {
		t.Errorf("%d refused, %d lost, %d connections refused; want none", refusedRequests, lost, n)
	}
}

// Whatever goes wrong with a new process, the old one goes on as if nothing had been,
// and a good one can take over afterwards.
func TestTakeOverThatFails(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	g := startRegistries(t, 1)
	b := startBooking(t, "s-0", "m", time.Millisecond)
	b.register(t, g.client(), 10*time.Second)
	p := newPlace(t, g.addrs(), time.Second) // one case waits for it to pass
	now := p.process("the old one")
	now.ready()
	l := startLoad(t, 2, now)
	with := func(change func(c map[string]any)) string {
		c := make(map[string]any)
		for k, v := range p.first {
			c[k] = v
		}
		change(c)
		return writeFile(t, "changed.json", c)
	}
	good := p.config
	for name, x := range map[string]struct {
		config string
		signal syscall.Signal
		says   string
	}{
		"a configuration that cannot be read": {with(func(c map[string]any) { c["connections"] = 7 }), 0, "connections"},
		"another name":                        {with(func(c map[string]any) { c["name"] = "n8" }), 0, "the other process says"},
		"never ready":                         {with(func(c map[string]any) { c["discovery"] = freeAddr(t) }), 0, "no list within"},
		"killed before it is ready":           {with(func(c map[string]any) { c["discovery"] = freeAddr(t) }), syscall.SIGKILL, ""},
		"ended before it is ready":            {with(func(c map[string]any) { c["discovery"] = freeAddr(t) }), syscall.SIGTERM, ""},
	} {
		p.config = x.config
		fresh := p.process(name)
		if x.signal != 0 {
			eventually(t, "it tries", func() bool { return fresh.says("taking over") })
			fresh.signal(x.signal)
		}
		select {
		case err := <-fresh.ended:
			if fresh.cmd = nil; x.says != "" && (err == nil || !fresh.says(x.says)) {
				t.Errorf("%s: it ended with %v:\n%s", name, err, fresh.log)
			}
			if err := fresh.checkEnd(err); x.signal == syscall.SIGTERM && err != nil {
				t.Errorf("%s: it did not end in order: %v", name, err)
			}
		case <-time.After(patience):
			t.Fatalf("%s: it does not end", name)
		}
		l.await(t, 50)
		if !now.alive() {
			t.Fatalf("%s: the old one has ended", name)
		}
	}
	// Noise on the socket, and somebody who connects and says nothing, hold nothing up.
	for _, noise := range []string{"", "{\n", strings.Repeat("x", 100_000) + "\n", `{"kind":"ready"}` + "\n"} {
		c, err := net.Dial("unix", p.socket)
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
	p.config = good
	var fresh *sidecarProcess
	eventually(t, "a good one serves", func() bool {
		if fresh == nil || !fresh.alive() { // it was told to come later
			if fresh != nil {
				fresh.cmd = nil // it has ended as it has to
			}
			fresh = p.process("the good one")
		}
		return fresh.says("msg=serving")
	})
	now.wait()
	l.await(t, 50)
	l.end()
	if served, refused, lost := l.account(t, []*booking{b}); refused > 0 || lost > 0 {
		t.Errorf("%d served, %d refused, %d lost; want no loss", served, refused, lost)
	}
	if info, err := os.Stat(p.socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v, error %v", info, err)
	}
	fresh.signal(syscall.SIGTERM)
	fresh.wait()
	if _, err := os.Stat(p.socket); !os.IsNotExist(err) {
		t.Errorf("the socket is left behind: %v", err)
	}
}

// An old process that has no connection when it gives its place up ends at once, and
// the new one still hears that the place is its.
func TestTakeOverWithoutConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	g := startRegistries(t, 1)
	startBooking(t, "s-0", "m", time.Millisecond).register(t, g.client(), 10*time.Second)
	p := newPlace(t, g.addrs(), patience)
	now := p.process("the first")
	now.ready()
	for i := range 10 {
		fresh := p.process(fmt.Sprint("the next, ", i))
		eventually(t, "it serves or has ended", func() bool { return fresh.says("msg=serving") || !fresh.alive() })
		if !fresh.alive() {
			t.Fatalf("take-over %d: it ended:\n%s", i, fresh.log)
		}
		now.wait()
		now = fresh
	}
}
