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

// Failures of a registry with three replicas under load: the leader is killed, a follower and the leader
// are stopped for a while, all replicas are killed and restarted from disk, and the leader is shut down.
// No request and no acknowledged write is lost, and no version goes back.
func TestRegistryFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	g := startRegistryGroup(t, 3)
	c := g.client()
	var servers []*bookingServer
	for i := range 4 {
		b := startBookingServer(t, fmt.Sprint("s-", i), fmt.Sprint("m-", i/2), 5*time.Millisecond)
		b.register(t, c, 10*time.Second)
		servers = append(servers, b)
	}
	var sidecars []*sidecarProcess
	for i := range 3 {
		sidecars = append(sidecars, startSidecar(t, fmt.Sprint("n", i), rotate(g.addrs(), i)))
	}
	l := startLoad(t, 2, sidecars...)

	// Writes continue during all steps, and each acknowledged one is recorded.
	ctx, cancel := context.WithCancel(context.Background())
	acknowledged, written := make(chan map[string]uint64, 1), atomic.Int64{}
	go func() {
		got := make(map[string]uint64)
		var last uint64
		for n := 0; ctx.Err() == nil; n++ {
			host := fmt.Sprint("written-", n%20)
			i := registry.Instance{Host: host, Dial: "127.0.0.1:1", Site: "a", Health: registry.HealthDraining, Share: 1, BornMS: int64(n + 1)}
			callCtx, done := context.WithTimeout(context.WithoutCancel(ctx), eventTimeout)
			a, err := c.Register(callCtx, registry.RegisterRequest{Instance: i})
			done()
			if err != nil {
				t.Errorf("write %d: %v", n, err)
				continue
			}
			if a.Seq < last {
				t.Errorf("write %d: the version went back from %d to %d", n, last, a.Seq)
			}
			last = a.Seq
			got[host] = uint64(n + 1)
			written.Add(1)
			time.Sleep(2 * time.Millisecond) // a steady rate below the limit of the disk
		}
		acknowledged <- got
	}()
	awaitWrites := func(more int64) {
		t.Helper()
		until := written.Load() + more
		eventually(t, "more writes are acknowledged", func() bool { return written.Load() >= until })
	}
	endedWatches := func() (n int) {
		for _, s := range sidecars {
			n += s.log.count("discovery: watch ended")
		}
		return n
	}
	step := func(what string, action func()) {
		t.Helper()
		before := endedWatches()
		action()
		awaitWrites(20)
		l.awaitSent(t, 100)
		t.Logf("%s: %d watches of %d sidecars ended", what, endedWatches()-before, len(sidecars))
	}
	step("the leader is killed", func() {
		i := g.leader()
		g.replicas[i].kill()
		awaitWrites(20)
		g.replicas[i].start()
		g.allReady()
	})
	step("a follower is stopped and continued", func() {
		i := (g.leader() + 1) % len(g.members)
		g.replicas[i].signal(syscall.SIGSTOP)
		awaitWrites(20)
		g.replicas[i].signal(syscall.SIGCONT)
	})
	step("the leader is stopped and continued", func() {
		i := g.leader()
		g.replicas[i].signal(syscall.SIGSTOP)
		awaitWrites(20)
		g.replicas[i].signal(syscall.SIGCONT)
	})
	step("all replicas are killed and restarted from disk", func() {
		for _, p := range g.replicas {
			p.kill()
		}
		l.awaitSent(t, 50) // sidecars continue with their last list
		for _, p := range g.replicas {
			p.start()
		}
		g.allReady()
	})
	step("the leader is shut down by SIGTERM", func() {
		i := g.leader()
		g.replicas[i].signal(syscall.SIGTERM)
		g.replicas[i].wait()
		awaitWrites(5)
		g.replicas[i].start()
		g.allReady()
	})
	cancel()
	want := <-acknowledged
	l.end()

	listCtx, done := context.WithTimeout(context.Background(), eventTimeout)
	defer done()
	all, err := c.Registrations(listCtx)
	if err != nil {
		t.Fatal(err)
	}
	missing := len(want)
	for _, e := range all.Registrations {
		if v, ok := want[e.Host]; ok && uint64(e.BornMS) >= v {
			missing--
		}
	}
	served, refused, lost := l.checkResults(t, servers)
	t.Logf("%d requests: %d served, %d refused, %d lost; %d writes acknowledged, %d missing", l.sent.Load(), served, refused, lost, written.Load(), missing)
	if lost > 0 || refused > 0 || missing > 0 || len(all.Registrations) != len(servers)+len(want) {
		t.Errorf("%d requests lost, %d refused, %d writes missing, %d entries; want none, none, none, %d", lost, refused, missing, len(all.Registrations), len(servers)+len(want))
	}
}

// rotate returns the addresses in the same cyclic order, beginning with the i-th.
func rotate(addrs []string, i int) []string {
	i %= len(addrs)
	return append(append([]string{}, addrs[i:]...), addrs[:i]...)
}
