package upstream

import (
	"context"
	"testing"
	"time"

	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/internal/sidecar/socket"
	"barleywick/policy"
)

// After silence on one connection no idle one to that upstream is used again: a
// machine that was cut off would swallow a request that may never be repeated.
// Where something else was heard meanwhile, only that request was slow.
func TestUnresponsiveServersIdleConnectionsAreClosed(t *testing.T) {
	for name, heard := range map[string]bool{"silent": false, "one slow request": true} {
		t.Run(name, func(t *testing.T) {
			u := sidecartest.NewFakeServer(t, func(r sidecartest.Received) (string, bool) {
				if r.Header.Get("Request-Id") == "x" {
					return "", false
				}
				return sidecartest.OKResponse(""), false
			})
			p, to := testPool(8), NewServer(u.Addr)
			defer p.Close()
			conns := connections(t, p, to, 3)
			for _, c := range conns {
				p.Release(c)
			}
			endAllQuarantines(p)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			ending := make(chan policy.Ending, 1)
			go func() { e, _ := runOneAttempt(ctx, p, to); ending <- e }()
			sidecartest.Await(t, "the request", u.Requests)
			if heard {
				ups := NewTransport(p, gate.New(), "/stats", nil)
				if ok, _ := ups.Probe(t.Context(), to); !ok {
					t.Fatal("the probe failed")
				}
			}
			if got := sidecartest.Await(t, "its end", ending); got != policy.TimedOut {
				t.Fatalf("ending %v", got)
			}
			endAllQuarantines(p)
			n, now := p.Counters()
			if want := map[bool]int{false: 0, true: 2}[heard]; now.Idle != want || int(n.Unresponsive) != 2-want {
				t.Errorf("%d idle connections are kept and %d distrusted, want %d kept", now.Idle, n.Unresponsive, want)
			}
		})
	}
}

// Connections beyond what was in use at once lately are closed long before an
// upstream would; the last one is not.
func TestIdleConnectionsAreKeptByDemand(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, to := poolOf(time.Second, time.Minute, 8), NewServer(u.Addr)
	defer p.Close()
	conns := connections(t, p, to, 5)
	for _, c := range conns {
		p.Release(c)
	}
	endAllQuarantines(p)
	now := conns[4].idleSince
	p.Sweep(now.Add(2*demandWindow - time.Millisecond))
	if p.idle.Len() != 5 {
		t.Fatalf("%d are left while the burst may come again, want 5", p.idle.Len())
	}
	p.mu.Lock()
	for _, c := range conns[:2] { // two at once, all the while
		c.idleSince = now.Add(2 * demandWindow)
	}
	to.peak, to.previousPeak, to.peakSince = 2, 2, now.Add(2*demandWindow)
	p.mu.Unlock()
	p.Sweep(now.Add(2 * demandWindow))
	if n, _ := p.Counters(); p.idle.Len() != 2 || n.Unneeded != 3 {
		t.Errorf("%d are left and %d closed, want the 2 that are needed", p.idle.Len(), n.Unneeded)
	}
	p.Sweep(now.Add(4*demandWindow + time.Second))
	if p.idle.Len() != 1 {
		t.Errorf("%d are left without any need, want 1", p.idle.Len())
	}
}

// Attempts that wait for a connection to a host that leaves are told at once.
func TestWaitersOfARemovedServer(t *testing.T) {
	p, to := testPool(4), NewServer(sidecartest.NewBlackHole(t))
	p.dialTimeout = sidecartest.Patience
	defer p.Close()
	ending := make(chan policy.Ending, 1)
	go func() { e, _ := runOneAttempt(t.Context(), p, to); ending <- e }()
	sidecartest.Eventually(t, "it waits", func() bool { return waiters(p) == 1 })
	p.Retire(to)
	if got := sidecartest.Await(t, "its end", ending); got != policy.NotSent {
		t.Errorf("ending %v, want not sent", got)
	}
	if got, _ := runOneAttempt(t.Context(), p, to); got != policy.NotSent {
		t.Errorf("to a host that has left: ending %v", got)
	}
}

// New limits act on what is open.
func TestSetLimits(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, to := testPool(8), NewServer(u.Addr)
	defer p.Close()
	conns := connections(t, p, to, 4)
	for _, c := range conns[1:] {
		p.Release(c)
	}
	p.SetLimits(config.UpstreamLimits{Total: 2, PerServer: 1, Handshakes: 1, HandshakesPerServer: 1})
	if p.opened() != 2 {
		t.Errorf("%d are open, want 2", p.opened())
	}
	p.Release(conns[0])
	if p.opened() != 1 {
		t.Errorf("%d are open to one upstream, want 1", p.opened())
	}
}

func TestPoolReusesTheMostRecentConnection(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, to := testPool(4), NewServer(u.Addr)
	a, err := p.Acquire(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	b, err := p.Acquire(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	p.Release(a)
	p.Release(b)
	endAllQuarantines(p)
	for _, want := range []*Conn{b, a} {
		if got, _ := p.Acquire(context.Background(), to); got != want {
			t.Errorf("got %p, want %p", got, want)
		}
	}
	if n := p.opened(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestPoolDiscardsWhatTheServerClosed(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, to := testPool(4), NewServer(u.Addr)
	c, err := p.Acquire(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	peer := sidecartest.Await(t, "the connection", u.Accepted)
	if !socket.IsIdle(c.Conn) {
		t.Error("a live idle connection is taken for a closed one")
	}
	p.Release(c)
	endAllQuarantines(p)
	peer.Close()
	if _, err := c.Read(make([]byte, 1)); err == nil { // returns once the close has arrived
		t.Fatal("the peer did not close")
	}
	if got, _ := p.Acquire(context.Background(), to); got == c {
		t.Error("a closed connection was given out")
	}
	if n := p.opened(); n != 1 {
		t.Errorf("%d slots taken, want 1", n)
	}
}

func TestPoolClosesBeforeTheServerDoes(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, to := poolOf(time.Second, 10*time.Second, 4), NewServer(u.Addr)
	c, err := p.Acquire(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	p.Release(c)
	endAllQuarantines(p)
	p.Sweep(c.idleSince.Add(c.idleLimit - time.Millisecond))
	if p.opened() != 1 {
		t.Error("closed too early")
	}
	if least := time.Duration(float64(p.maxIdle) * (1 - idleJitter)); p.maxIdle >= 10*time.Second || c.idleLimit > p.maxIdle || c.idleLimit < least {
		t.Errorf("an idle connection is kept for %v, want %v to %v", c.idleLimit, least, p.maxIdle)
	}
	p.Sweep(c.idleSince.Add(c.idleLimit))
	sidecartest.Await(t, "the connection's end", u.Closed)
	if p.opened() != 0 {
		t.Error("the slot was not given back")
	}
}

// At the bound an idle connection makes way, to whatever upstream it goes.
func TestPoolKeepsToItsLimit(t *testing.T) {
	a, b := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse(""))), sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, toA, toB := testPool(2), NewServer(a.Addr), NewServer(b.Addr)
	first, err := p.Acquire(context.Background(), toA)
	if err != nil {
		t.Fatal(err)
	}
	second, err := p.Acquire(context.Background(), toA)
	if err != nil {
		t.Fatal(err)
	}
	p.Release(first)
	if _, err := p.Acquire(context.Background(), toB); err != nil {
		t.Fatalf("no room was made: %v", err)
	}
	sidecartest.Await(t, "the idle connection's end", a.Closed)
	waits := make(chan error, 1)
	go func() {
		_, err := p.Acquire(context.Background(), toB)
		waits <- err
	}()
	sidecartest.Await(t, "the second connection", a.Accepted) // both were accepted by now
	p.Release(second)                                         // or drop, if the other waits already: either way there is room
	if err := sidecartest.Await(t, "a connection", waits); err != nil {
		t.Errorf("a waiting caller got %v", err)
	}
	if n := p.opened(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Another host may come to the address of one that has gone, and an attempt at
// the old one may still be out by then: its connection is not the new one's.
func TestConnectionsBelongToTheirServer(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, old := testPool(4), NewServer(u.Addr)
	idle, err := p.Acquire(t.Context(), old)
	if err != nil {
		t.Fatal(err)
	}
	out, err := p.Acquire(t.Context(), old)
	if err != nil {
		t.Fatal(err)
	}
	p.Release(idle)
	p.Retire(old)
	sidecartest.Await(t, "the idle connection's end", u.Closed)
	fresh, err := p.Acquire(t.Context(), NewServer(u.Addr))
	if err != nil {
		t.Fatal(err)
	}
	if fresh == idle || fresh == out {
		t.Error("the new host got the old one's connection")
	}
	p.Release(out)
	sidecartest.Await(t, "the end of the one that was out", u.Closed)
	if p.opened() != 1 || p.idle.Len() != 0 {
		t.Errorf("%d connections are open and %d idle, want 1 and none", p.opened(), p.idle.Len())
	}
}
