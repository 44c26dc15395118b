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

// workflow is an operator's drain of whole machines.
func (g *registries) workflow(sidecars int, stop func(host string)) *drain.Workflow {
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

// fleet is the real one, but for what stops a server.
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

// Each scope of a drain under constant load, in turn and at random together with a
// kill: a booking server, a sidecar by SIGTERM, a machine. Every request gets
// exactly one answer, none is lost, none unsafe runs twice, and nothing new comes to
// what is drained.
func TestDrainsUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	g := startRegistries(t, 3)
	c := g.client()
	var servers []*booking
	for i := range 6 {
		b := startBooking(t, fmt.Sprint("s-", i), fmt.Sprint("m-", i/2), 10*time.Millisecond)
		b.register(t, c, 10*time.Second)
		servers = append(servers, b)
	}
	var sidecars []*sidecarProcess
	for i := range 2 {
		sidecars = append(sidecars, startSidecar(t, fmt.Sprint("n", i), rotate(g.addrs(), i)))
	}
	p := newPlace(t, g.addrs(), patience) // whose sidecar is taken over
	inPlace := p.process("n7")
	inPlace.ready()
	sidecars = append(sidecars, inPlace)
	l := startLoad(t, 2, sidecars...)
	within, cancel := context.WithTimeout(context.Background(), 4*patience)
	defer cancel()

	// told waits until every sidecar watches and holds a version, and says when that was.
	told := func(seq uint64) time.Time {
		t.Helper()
		site := &drain.LiveFleet{Statuses: c.Statuses, Sidecars: len(sidecars), Now: time.Now}
		since := time.Now()
		eventually(t, "the sidecars are told", func() bool { ok, err := site.Notified(within, seq, since); return ok && err == nil })
		return time.Now()
	}
	lateMost := time.Duration(0) // the latest begin of a request at a server, after its drain was told
	drainServer := func(b *booking) {
		t.Helper()
		a, err := c.Mark(within, registry.MarkRequest{Hosts: []string{b.host}, MarkedBy: "ops-a", Draining: true})
		if err != nil {
			t.Fatal(err)
		}
		at := told(a.Seq)
		l.await(t, 200)
		eventually(t, "its work has ended", func() bool { return b.held() == 0 })
		if late := b.lastBegin().Sub(at); late > 0 {
			lateMost = max(lateMost, late)
		}
		before := b.requests()
		l.await(t, 200)
		if n := b.requests() - before; n > 0 {
			t.Errorf("%s drains and began %d requests", b.host, n)
		}
		if _, err := c.Mark(within, registry.MarkRequest{Hosts: []string{b.host}, MarkedBy: "ops-a"}); err != nil {
			t.Fatal(err)
		}
		eventually(t, b.host+" is used again", func() bool { return b.requests() > before })
	}
	restart := func(s *sidecarProcess) {
		t.Helper()
		s.signal(syscall.SIGTERM)
		l.await(t, 40) // clients learn of it late
		l.pause(s)
		s.wait()
		s.start()
		s.ready()
		l.resume(s)
	}
	takeOver := func() {
		t.Helper()
		old := inPlace
		inPlace = p.process("n7, a later one")
		eventually(t, "the new one serves", func() bool { return inPlace.says("msg=serving") })
		old.wait()
	}
	w := g.workflow(len(sidecars), func(host string) {
		i := slices.IndexFunc(servers, func(b *booking) bool { return b.host == host })
		if n := servers[i].held(); n > 0 {
			t.Errorf("%s is stopped with %d requests running", host, n)
		}
	})
	drainMachine := func(m string) {
		t.Helper()
		if err := w.Drain(within, m); err != nil {
			t.Fatal(err)
		}
		before := make(map[*booking]int)
		for _, b := range servers {
			if b.machine == m {
				before[b] = b.requests()
			}
		}
		l.await(t, 200)
		for b, n := range before {
			if now := b.requests(); now > n {
				t.Errorf("%s on %s is drained and began %d requests", b.host, m, now-n)
			}
		}
		if err := w.Undrain(within, m); err != nil {
			t.Fatal(err)
		}
	}
	drainServer(servers[0])
	restart(sidecars[0])
	drainMachine("m-1")

	takeOver()

	// And at random, with a replica killed in the middle of each.
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
			time.Sleep(after) // somewhere in what follows
			g.replicas[i].kill()
		}()
		scopes[scope]()
		<-killed
		g.replicas[i].start()
		g.allReady()
	}
	l.end()
	served, refused, lost := l.account(t, servers)
	t.Logf("%d requests: %d served, %d refused, %d lost; the latest begin at a server %v after its drain was told", l.sent.Load(), served, refused, lost, lateMost)
	if lost > 0 || refused > 0 {
		t.Errorf("%d requests were lost and %d refused", lost, refused)
	}
}

// Two operators at once: the floor holds, and one is told why it has to wait.
func TestTwoOperators(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	g := startRegistries(t, 1)
	for i := range 2 {
		startBooking(t, fmt.Sprint("s-", i), fmt.Sprint("m-", i), time.Millisecond).register(t, g.client(), 10*time.Second)
	}
	errs := make(chan error, 2)
	for i := range 2 {
		w := g.workflow(0, func(string) {})
		w.Owner = fmt.Sprint("operator ", i)
		go func() { errs <- w.Drain(context.Background(), fmt.Sprint("m-", i)) }()
	}
	a, b := <-errs, <-errs
	if (a == nil) == (b == nil) || !errors.Is(errors.Join(a, b), drain.ErrRefused) {
		t.Errorf("%v and %v, want one refused for the floor", a, b)
	}
}
