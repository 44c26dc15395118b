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

// After a request without a response no idle connection to that server is used again: a request that
// is written to a machine that was cut off is lost, and may never be repeated. If another response came
// meanwhile, only that request was slow.
func TestUnresponsiveServersIdleConnectionsAreClosed(t *testing.T) {
	for name, answered := range map[string]bool{"unresponsive": false, "one slow request": true} {
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
			if answered {
				ups := NewTransport(p, gate.New(), "/stats", nil)
				if ok, _ := ups.Probe(t.Context(), to); !ok {
					t.Fatal("the probe failed")
				}
			}
			if got := sidecartest.Await(t, "the ending", ending); got != policy.TimedOut {
				t.Fatalf("got ending %v, want timed out", got)
			}
			endAllQuarantines(p)
			n, now := p.Counters()
			if want := map[bool]int{false: 0, true: 2}[answered]; now.Idle != want || int(n.Unresponsive) != 2-want {
				t.Errorf("got %d idle connections and %d closed as unresponsive, want %d idle", now.Idle, n.Unresponsive, want)
			}
		})
	}
}

// Connections beyond what was in use at once lately are closed long before the server would close
// them; the last one is not.
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
		t.Fatalf("got %d idle connections while the burst may come again, want 5", p.idle.Len())
	}
	p.mu.Lock()
	for _, c := range conns[:2] { // two in use at once, all the time
		c.idleSince = now.Add(2 * demandWindow)
	}
	to.peak, to.previousPeak, to.peakSince = 2, 2, now.Add(2*demandWindow)
	p.mu.Unlock()
	p.Sweep(now.Add(2 * demandWindow))
	if n, _ := p.Counters(); p.idle.Len() != 2 || n.Unneeded != 3 {
		t.Errorf("got %d idle connections and %d closed, want 2 and 3", p.idle.Len(), n.Unneeded)
	}
	p.Sweep(now.Add(4*demandWindow + time.Second))
	if p.idle.Len() != 1 {
		t.Errorf("got %d idle connections without demand, want 1", p.idle.Len())
	}
}

// startWaitingAttempt starts an attempt to a server that accepts no connection, and returns when it
// waits for one.
func startWaitingAttempt(t *testing.T) (p *Pool, to *Server, ending <-chan policy.Ending) {
	t.Helper()
	p, to = testPool(4), NewServer(sidecartest.NewBlackHole(t))
	p.dialTimeout = sidecartest.Patience
	t.Cleanup(p.Close)
	ended := make(chan policy.Ending, 1)
	go func() { e, _ := runOneAttempt(t.Context(), p, to); ended <- e }()
	sidecartest.Eventually(t, "the attempt waits", func() bool { return waiters(p) == 1 })
	return p, to, ended
}

// Attempts that wait for a connection to a server that is removed end at once.
func TestWaitersOfARemovedServer(t *testing.T) {
	p, to, ending := startWaitingAttempt(t)
	p.Retire(to)
	if got := sidecartest.Await(t, "the ending", ending); got != policy.NotSent {
		t.Errorf("got ending %v, want not sent", got)
	}
	if got, _ := runOneAttempt(t.Context(), p, to); got != policy.NotSent {
		t.Errorf("to a removed server: got ending %v, want not sent", got)
	}
}

// Other limits apply to the connections that are open.
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
		t.Errorf("got %d connections, want 2", p.opened())
	}
	p.Release(conns[0])
	if p.opened() != 1 {
		t.Errorf("got %d connections to one server, want 1", p.opened())
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
		t.Errorf("got %d connections, want 2", n)
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
		t.Error("an open idle connection counts as closed")
	}
	p.Release(c)
	endAllQuarantines(p)
	peer.Close()
	if _, err := c.Read(make([]byte, 1)); err == nil { // returns once the close has arrived
		t.Fatal("the server did not close")
	}
	if got, _ := p.Acquire(context.Background(), to); got == c {
		t.Error("got a closed connection")
	}
	if n := p.opened(); n != 1 {
		t.Errorf("got %d connections, want 1", n)
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
		t.Error("closed before its idle limit")
	}
	if least := time.Duration(float64(p.maxIdle) * (1 - idleJitter)); p.maxIdle >= 10*time.Second || c.idleLimit > p.maxIdle || c.idleLimit < least {
		t.Errorf("got idle limit %v, want %v to %v", c.idleLimit, least, p.maxIdle)
	}
	p.Sweep(c.idleSince.Add(c.idleLimit))
	sidecartest.Await(t, "the connection's close", u.Closed)
	if p.opened() != 0 {
		t.Error("the connection still counts")
	}
}

// At the limit on the total an idle connection is evicted, to whatever server it goes.
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
		t.Fatalf("nothing was evicted: %v", err)
	}
	sidecartest.Await(t, "the idle connection's close", a.Closed)
	waits := make(chan error, 1)
	go func() {
		_, err := p.Acquire(context.Background(), toB)
		waits <- err
	}()
	sidecartest.Await(t, "the second connection", a.Accepted) // both were accepted by now
	p.Release(second)                                         // whether the other caller waits already or not, there is a connection for it
	if err := sidecartest.Await(t, "a connection", waits); err != nil {
		t.Errorf("got error %v for the waiting caller", err)
	}
	if n := p.opened(); n != 2 {
		t.Errorf("got %d connections, want 2", n)
	}
}

// Another server may come to the address of one that was removed while an attempt at the old one is
// still in flight: that connection is not the new server's.
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
	sidecartest.Await(t, "the idle connection's close", u.Closed)
	fresh, err := p.Acquire(t.Context(), NewServer(u.Addr))
	if err != nil {
		t.Fatal(err)
	}
	if fresh == idle || fresh == out {
		t.Error("the new server got a connection of the old one")
	}
	p.Release(out)
	sidecartest.Await(t, "the close of the one that was in use", u.Closed)
	if p.opened() != 1 || p.idle.Len() != 0 {
		t.Errorf("got %d connections and %d idle, want 1 and 0", p.opened(), p.idle.Len())
	}
}
