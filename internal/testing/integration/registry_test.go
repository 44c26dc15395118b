package integration

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry"
)

// Three replicas, sidecars with requests through them and booking servers: the
// leader is killed, a replica is cut off and returns, all are killed and started
// again from disk. No request is lost, no acknowledged write, and no version goes
// back.
func TestRegistryFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	g := startRegistries(t, 3)
	c := g.client()
	var servers []*booking
	for i := range 4 {
		b := startBooking(t, fmt.Sprint("s-", i), fmt.Sprint("m-", i/2), 5*time.Millisecond)
		b.register(t, c, 10*time.Second)
		servers = append(servers, b)
	}
	var sidecars []*sidecarProcess
	for i := range 3 {
		sidecars = append(sidecars, startSidecar(t, fmt.Sprint("n", i), rotate(g.addrs(), i)))
	}
	l := startLoad(t, 2, sidecars...)

	// Writes go on all the while, and each that was acknowledged is noted.
	ctx, cancel := context.WithCancel(context.Background())
	acknowledged, written := make(chan map[string]uint64, 1), atomic.Int64{}
	go func() {
		got := make(map[string]uint64)
		var last uint64
		for n := 0; ctx.Err() == nil; n++ {
			host := fmt.Sprint("written-", n%20)
			i := registry.Instance{Host: host, Dial: "127.0.0.1:1", Site: "a", Health: registry.HealthDraining, Share: 1, BornMS: int64(n + 1)}
			within, done := context.WithTimeout(context.WithoutCancel(ctx), patience)
			a, err := c.Register(within, registry.RegisterRequest{Instance: i})
			done()
			if err != nil {
				t.Errorf("write %d: %v", n, err)
				continue
			}
			if a.Seq < last {
				t.Errorf("write %d: the version went from %d back to %d", n, last, a.Seq)
			}
			last = a.Seq
			got[host] = uint64(n + 1)
			written.Add(1)
			time.Sleep(2 * time.Millisecond) // a steady pace, not as fast as the disk can
		}
		acknowledged <- got
	}()
	wrote := func(more int64) {
		t.Helper()
		until := written.Load() + more
		eventually(t, "writes go on", func() bool { return written.Load() >= until })
	}
	calls := func() (n int) {
		for _, s := range sidecars {
			n += s.log.count("discovery: watch ended")
		}
		return n
	}
	step := func(what string, do func()) {
		t.Helper()
		before := calls()
		do()
		wrote(20)
		l.await(t, 100)
		t.Logf("%s: %d watches of %d sidecars ended", what, calls()-before, len(sidecars))
	}
	step("the leader is killed", func() {
		i := g.leader()
		g.replicas[i].kill()
		wrote(20)
		g.replicas[i].start()
		g.allReady()
	})
	step("a replica is cut off and returns", func() {
		i := (g.leader() + 1) % len(g.members)
		g.replicas[i].signal(syscall.SIGSTOP)
		wrote(20)
		g.replicas[i].signal(syscall.SIGCONT)
	})
	step("the leader is cut off and returns", func() {
		i := g.leader()
		g.replicas[i].signal(syscall.SIGSTOP)
		wrote(20)
		g.replicas[i].signal(syscall.SIGCONT)
	})
	step("all are killed and start again from disk", func() {
		for _, p := range g.replicas {
			p.kill()
		}
		l.await(t, 50) // sidecars go on with the list they hold
		for _, p := range g.replicas {
			p.start()
		}
		g.allReady()
	})
	step("the leader is asked to end", func() {
		i := g.leader()
		g.replicas[i].signal(syscall.SIGTERM)
		g.replicas[i].wait()
		wrote(5)
		g.replicas[i].start()
		g.allReady()
	})
	cancel()
	want := <-acknowledged
	l.end()

	within, done := context.WithTimeout(context.Background(), patience)
	defer done()
	all, err := c.Registrations(within)
	if err != nil {
		t.Fatal(err)
	}
	missing := len(want)
	for _, e := range all.Registrations {
		if v, ok := want[e.Host]; ok && uint64(e.BornMS) >= v {
			missing--
		}
	}
	served, refused, lost := l.account(t, servers)
	t.Logf("%d requests: %d served, %d refused, %d lost; %d writes acknowledged, %d missing", l.sent.Load(), served, refused, lost, written.Load(), missing)
	if lost > 0 || refused > 0 || missing > 0 || len(all.Registrations) != len(servers)+len(want) {
		t.Errorf("%d requests lost, %d refused, %d writes missing, %d entries; want none, none, none, %d", lost, refused, missing, len(all.Registrations), len(servers)+len(want))
	}
}

// rotate puts the i-th address first.
func rotate(addrs []string, i int) []string {
	i %= len(addrs)
	return append(append([]string{}, addrs[i:]...), addrs[:i]...)
}
