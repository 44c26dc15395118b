package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"barleywick/internal/registry"
)

// When the leader crashes no acknowledged write, no watch and no session is lost. A
// replica that returns serves nothing before it has caught up.
func TestLossOfTheLeader(t *testing.T) {
	g := startGroup(t, 3)
	c := g.client()
	var followers []*testWatcher
	for i := range 6 {
		followers = append(followers, startTestWatcher(t, g.addrs(), uint64(i)))
	}
	const ttl = 3000
	ctx, cancel := context.WithCancel(context.Background())
	var kept sync.WaitGroup
	for i := range 4 {
		registered := make(chan struct{}, 10)
		kept.Go(func() {
			r := registry.RegisterRequest{Instance: instance(fmt.Sprint("kept-", i), 1), Session: fmt.Sprint("x", i), TTLMS: ttl}
			if err := g.client().KeepRegistered(ctx, r, func(registry.WriteResponse) { registered <- struct{}{} }); err != nil {
				t.Error(err)
			}
		})
		<-registered
	}
	write := func(host string) {
		t.Helper()
		if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance(host, 1)}); err != nil {
			t.Fatal(err)
		}
	}
	for round := range 3 {
		write(fmt.Sprint("before-", round))
		old := g.leader()
		old.stop()
		write(fmt.Sprint("after-", round))
		old.start()
		eventually(t, "the replica is ready again", func() bool { return old.ready.Load() })
	}
	want := g.leader().wantedList()
	if len(want) != 4+6 {
		t.Errorf("got %d instances, want 10: %v", len(want), want)
	}
	checkWatchers(t, followers, want)
	cancel()
	kept.Wait()
	eventually(t, "the instances that left are removed", func() bool { return len(g.leader().wantedList()) == 6 })
}

// A replica without a quorum goes on serving its list as stale, refuses writes with the
// reason, and ends its watches so that watchers may go elsewhere.
func TestCutOffReplica(t *testing.T) {
	g := startGroup(t, 3)
	c := g.client()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 1)}); err != nil {
		t.Fatal(err)
	}
	last := g.nodes[0]
	eventually(t, "the list is everywhere", func() bool { return len(last.wantedList()) == 1 })
	resp, err := http.Get(fmt.Sprintf("http://%s%s?watch=1", last.member.HTTP, registry.ListPath))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	g.nodes[1].stop()
	g.nodes[2].stop()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("the watch ended with %v, want a proper end", err)
	}
	status, header, text := get(t, "http://"+last.member.HTTP+registry.ListPath)
	if status != 200 || !strings.HasPrefix(header.Get(registry.ReadHeader), registry.ReadStale) || !strings.Contains(text, "s-1") {
		t.Errorf("the list: got %d %s, read %q; want it as stale", status, text, header.Get(registry.ReadHeader))
	}
	good, _ := json.Marshal(registry.RegisterRequest{Instance: instance("s-2", 5)})
	if status, a, _ := do(t, "PUT", "http://"+last.member.HTTP+registry.APIPath+"instances/s-2", string(good)); status != 503 || !strings.Contains(a.Error, "quorum") {
		t.Errorf("a write: got %d %q, want 503 and the reason", status, a.Error)
	}
	if status, _, _ := do(t, "GET", "http://"+last.member.HTTP+registry.APIPath+"instances?linearizable=1", ""); status != 503 {
		t.Errorf("a linearizable read: got %d want 503", status)
	}
	// Nobody can say whether a version it does not know is of this history.
	if status, _, _ := get(t, fmt.Sprintf("http://%s%s?watch=1&from=%d", last.member.HTTP, registry.ListPath, last.stateMachine.seq()+1)); status != 503 {
		t.Errorf("a watch from a version that is ahead: got %d want 503", status)
	}
	g.nodes[1].start()
	g.nodes[2].start()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-2", 1)}); err != nil {
		t.Errorf("a write once there is a quorum: %v", err)
	}
}

// Replicas that all end and start again from their disks hold what was acknowledged, at
// versions that never went back, and remove no instance.
func TestRestartFromDisk(t *testing.T) {
	g := startGroup(t, 3)
	c := g.client()
	var f []*testWatcher
	for i := range 3 {
		f = append(f, startTestWatcher(t, g.addrs(), uint64(i)))
	}
	for round := range 2 {
		for i := range 10 {
			r := registry.RegisterRequest{Instance: instance(fmt.Sprint("s-", i), int64(round)), Session: "x", TTLMS: 1000}
			r.Session = fmt.Sprint("x", round)
			r.Instance.BornMS = int64(round + 1)
			if _, err := c.Register(testContext(t), r); err != nil {
				t.Fatal(err)
			}
		}
		leader := g.leader()
		want, seq := leader.wantedList(), leader.stateMachine.seq()
		if round == 0 {
			if err := leader.raft.Snapshot().Error(); err != nil {
				t.Fatal(err)
			}
		}
		for _, n := range g.nodes {
			n.stop()
		}
		for _, n := range g.nodes {
			n.start()
		}
		// The leader gives each session its full time, and then, as all expire at once, removes none.
		leader = g.leader()
		if got := leader.wantedList(); !maps.Equal(got, want) || leader.stateMachine.seq() < seq {
			t.Errorf("after the restart: got %v at %d, want %v at %d or later", got, leader.stateMachine.seq(), want, seq)
		}
		eventually(t, "expiry is held back", func() bool { return leader.Status().ExpiryHeld })
		if got := leader.wantedList(); len(got) != 10 {
			t.Errorf("%d of 10 instances are left though all sessions expired at once, want all", len(got))
		}
	}
	checkWatchers(t, f, g.leader().wantedList())
}

// An instance that stops renewing is removed after its time to live; those that renew stay.
func TestExpiredInstanceIsRemoved(t *testing.T) {
	g := startGroup(t, 1)
	c := g.client()
	for i := range 3 {
		r := registry.RegisterRequest{Instance: instance(fmt.Sprint("s-", i), 1), Session: "x", TTLMS: 500}
		if _, err := c.Register(testContext(t), r); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 2 {
		go func() {
			for ctx.Err() == nil {
				c.RenewSession(ctx, fmt.Sprint("s-", i), "x")
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	eventually(t, "the instance that does not renew is removed", func() bool {
		return !maps.Equal(g.nodes[0].wantedList(), map[string]string{"s-0": "up 1", "s-1": "up 1", "s-2": "up 1"})
	})
	if got := g.nodes[0].wantedList(); len(got) != 2 || got["s-2"] != "" {
		t.Errorf("got %v, want the instances that renew", got)
	}
	if err := c.RenewSession(testContext(t), "s-2", "x"); !errors.Is(err, registry.ErrNotFound) {
		t.Errorf("a late renewal: got %v want %v", err, registry.ErrNotFound)
	}
}

// A replica is replaced: a new one is added and catches up, and the old one is removed.
func TestReplicaIsReplaced(t *testing.T) {
	g := startGroup(t, 3)
	c := g.client()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 1)}); err != nil {
		t.Fatal(err)
	}
	leader := g.leader()
	lost := g.nodes[0]
	if lost == leader {
		lost = g.nodes[1]
	}
	lost.stop()
	httpListener, raftListener := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	m := registry.ReplicaInfo{ID: "r9", HTTP: httpListener.Addr().String(), Raft: raftListener.Addr().String()}
	config := *g.nodes[0].config
	config.ID, config.DataDir, config.Join = "r9", t.TempDir(), true
	config.Replicas = append(slices.Clone(config.Replicas), m)
	if err := config.validate(); err != nil {
		t.Fatal(err)
	}
	fresh := &node{t: t, config: &config, member: m}
	fresh.serve(httpListener, raftListener)
	defer fresh.stop()
	text, _ := json.Marshal(m)
	base := "http://" + leader.member.HTTP + registry.APIPath + "members/"
	if status, a, _ := do(t, "PUT", base+"r9", string(text)); status != 200 {
		t.Fatalf("add a replica: got %d %s", status, a.Error)
	}
	if status, a, _ := do(t, "DELETE", base+lost.member.ID, ""); status != 200 {
		t.Fatalf("remove a replica: got %d %s", status, a.Error)
	}
	eventually(t, "the new replica is ready", func() bool { return fresh.ready.Load() })
	if got := fresh.wantedList(); len(got) != 1 {
		t.Errorf("the new replica lists %v, want one instance", got)
	}
	s := leader.Status()
	ids := make([]string, len(s.Replicas))
	for i, m := range s.Replicas {
		if ids[i] = m.ID; m.HTTP == "" {
			t.Errorf("replica %s has no address", m.ID)
		}
	}
	if len(ids) != 3 || !slices.Contains(ids, "r9") || slices.Contains(ids, lost.member.ID) {
		t.Errorf("the group is %v, want r9 in place of %s", ids, lost.member.ID)
	}
}
