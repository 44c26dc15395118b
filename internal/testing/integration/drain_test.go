package integration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/registry"
)

// workflow returns an operator's workflow that drains whole machines.
func (g *registryGroup) workflow(sidecars int, stop func(host string)) *drain.Workflow {
	g.t.Helper()
	c := g.client()
	return &drain.Workflow{
		Registry: c,
		Fleet: &fleet{stop: stop, LiveFleet: &drain.LiveFleet{
			Statuses: c.Statuses, Sidecars: sidecars, MaxRequestTime: 5 * time.Second, Now: time.Now,
		}},
		Floor: drain.Floor{Default: 1}, Owner: "systemtest", ClaimTTL: 15 * time.Second, PollInterval: 20 * time.Millisecond, Now: time.Now,
		Sleep:   func(ctx context.Context, d time.Duration) error { time.Sleep(d); return ctx.Err() },
		OnEvent: func(e drain.Event) { g.t.Log(e) },
	}
}

// fleet is the live fleet, except that it stops servers by a function of the test.
type fleet struct {
	*drain.LiveFleet
	stop func(host string)
}

func (f *fleet) RemainingMembers(context.Context, string) ([]string, bool, error) {
	return nil, false, nil
}

func (f *fleet) Stop(_ context.Context, _, host string) error {
	f.stop(host)
	return nil
}

// Drains a booking server, a sidecar (by SIGTERM) and a machine under constant load, first one after
// the other, then in random order while a registry replica is killed. Every request gets exactly one
// response, none is lost, no request of a class that must not run twice does, and a drained server
// receives no new requests.
func TestDrainsUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	g := startRegistryGroup(t, 3)
	c := g.client()
	var servers []*bookingServer
	for i := range 6 {
		b := startBookingServer(t, fmt.Sprint("s-", i), fmt.Sprint("m-", i/2), 10*time.Millisecond)
		b.register(t, c, 10*time.Second)
		servers = append(servers, b)
	}
	var sidecars []*sidecarProcess
	for i := range 2 {
		sidecars = append(sidecars, startSidecar(t, fmt.Sprint("n", i), rotate(g.addrs(), i)))
	}
	slot := newSidecarSlot(t, g.addrs(), eventTimeout) // its sidecar is replaced by a hand-over
	current := slot.startProcess("n7")
	current.ready()
	sidecars = append(sidecars, current)
	l := startLoad(t, 2, sidecars...)
	ctx, cancel := context.WithTimeout(context.Background(), 4*eventTimeout)
	defer cancel()

	// awaitNotified waits until every sidecar has been notified of a version, and returns the time.
	awaitNotified := func(seq uint64) time.Time {
		t.Helper()
		live := &drain.LiveFleet{Statuses: c.Statuses, Sidecars: len(sidecars), Now: time.Now}
		since := time.Now()
		eventually(t, "the sidecars are notified", func() bool { ok, err := live.Notified(ctx, seq, since); return ok && err == nil })
		return time.Now()
	}
	longestDelay := time.Duration(0) // longest time from the notification of a drain to the begin of a request
	drainServer := func(b *bookingServer) {
		t.Helper()
		a, err := c.Mark(ctx, registry.MarkRequest{Hosts: []string{b.host}, MarkedBy: "ops-a", Draining: true})
		if err != nil {
			t.Fatal(err)
		}
		notifiedAt := awaitNotified(a.Seq)
		l.awaitSent(t, 200)
		eventually(t, "the drained server runs no request", func() bool { return b.runningRequests() == 0 })
		if delay := b.lastBegin().Sub(notifiedAt); delay > 0 {
			longestDelay = max(longestDelay, delay)
		}
		before := b.requests()
		l.awaitSent(t, 200)
		if n := b.requests() - before; n > 0 {
			t.Errorf("%s is draining and began %d requests, want none", b.host, n)
		}
		if _, err := c.Mark(ctx, registry.MarkRequest{Hosts: []string{b.host}, MarkedBy: "ops-a"}); err != nil {
			t.Fatal(err)
		}
		eventually(t, b.host+" is used again", func() bool { return b.requests() > before })
	}
	restart := func(s *sidecarProcess) {
		t.Helper()
		s.signal(syscall.SIGTERM)
		l.awaitSent(t, 40) // clients notice the shutdown late
		l.pause(s)
		s.wait()
		s.start()
		s.ready()
		l.resume(s)
	}
	takeOver := func() {
		t.Helper()
		predecessor := current
		current = slot.startProcess("n7, successor")
		eventually(t, "the successor serves", func() bool { return current.logContains("msg=serving") })
		predecessor.wait()
	}
	w := g.workflow(len(sidecars), func(host string) {
		i := slices.IndexFunc(servers, func(b *bookingServer) bool { return b.host == host })
		if n := servers[i].runningRequests(); n > 0 {
			t.Errorf("%s is stopped while %d requests are running, want none", host, n)
		}
	})
	drainMachine := func(m string) {
		t.Helper()
		if err := w.Drain(ctx, m); err != nil {
			t.Fatal(err)
		}
		before := make(map[*bookingServer]int)
		for _, b := range servers {
			if b.machine == m {
				before[b] = b.requests()
			}
		}
		l.awaitSent(t, 200)
		for b, n := range before {
			if now := b.requests(); now > n {
				t.Errorf("%s on %s is drained and began %d requests, want none", b.host, m, now-n)
			}
		}
		if err := w.Undrain(ctx, m); err != nil {
			t.Fatal(err)
		}
	}
	drainServer(servers[0])
	restart(sidecars[0])
	drainMachine("m-1")

	takeOver()

	// In random order, each while a registry replica is killed.
	rng := rand.New(rand.NewPCG(11, 0))
	scopes := []func(){
		func() { drainServer(servers[rng.IntN(len(servers))]) },
		func() { restart(sidecars[rng.IntN(2)]) },
		func() { drainMachine(fmt.Sprint("m-", rng.IntN(3))) },
		takeOver,
	}
	for _, scope := range rng.Perm(len(scopes)) {
		i := g.leader()
		killed, after := make(chan struct{}), time.Duration(rng.IntN(300))*time.Millisecond
		go func() {
			defer close(killed)
			time.Sleep(after) // during the step below
			g.replicas[i].kill()
		}()
		scopes[scope]()
		<-killed
		g.replicas[i].start()
		g.allReady()
	}
	l.end()
	served, refused, lost := l.checkResults(t, servers)
	t.Logf("%d requests: %d served, %d refused, %d lost; the latest request began %v after the drain was notified", l.sent.Load(), served, refused, lost, longestDelay)
	if lost > 0 || refused > 0 {
		t.Errorf("%d requests lost and %d refused, want none", lost, refused)
	}
}

// Two operators drain at the same time: one is refused, since both together would violate the floor.
func TestConcurrentDrainsKeepFloor(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	g := startRegistryGroup(t, 1)
	for i := range 2 {
		startBookingServer(t, fmt.Sprint("s-", i), fmt.Sprint("m-", i), time.Millisecond).register(t, g.client(), 10*time.Second)
	}
	errs := make(chan error, 2)
	for i := range 2 {
		w := g.workflow(0, func(string) {})
		w.Owner = fmt.Sprint("operator ", i)
		go func() { errs <- w.Drain(context.Background(), fmt.Sprint("m-", i)) }()
	}
	a, b := <-errs, <-errs
	if (a == nil) == (b == nil) || !errors.Is(errors.Join(a, b), drain.ErrRefused) {
		t.Errorf("got errors %v and %v, want exactly one drain refused for the floor", a, b)
	}
}
