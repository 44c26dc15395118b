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

// The loss of the leader loses no acknowledged write, no watcher and no session;
// a replica that comes back catches up before it is asked.
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
		eventually(t, "it is ready again", func() bool { return old.ready.Load() })
	}
	want := g.leader().wantedList()
	if len(want) != 4+6 {
		t.Errorf("%d instances are listed, want 10: %v", len(want), want)
	}
	for i, f := range followers {
		eventually(t, fmt.Sprintf("follower %d holds the list", i), func() bool { return f.holds(want) })
		if f.back > 0 {
			t.Errorf("follower %d went back %d times", i, f.back)
		}
	}
	cancel()
	kept.Wait()
	eventually(t, "those that left are out", func() bool { return len(g.leader().wantedList()) == 6 })
}

// A replica without a quorum goes on serving its list and says that it is stale,
// refuses writes plainly, and ends its watches so that they may go elsewhere.
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
		t.Errorf("the watch ended with %v, want a clean end", err)
	}
	status, header, text := get(t, "http://"+last.member.HTTP+registry.ListPath)
	if status != 200 || !strings.HasPrefix(header.Get(registry.ReadHeader), registry.ReadStale) || !strings.Contains(text, "s-1") {
		t.Errorf("the list: %d %s, read %q", status, text, header.Get(registry.ReadHeader))
	}
	good, _ := json.Marshal(registry.RegisterRequest{Instance: instance("s-2", 5)})
	if status, a, _ := do(t, "PUT", "http://"+last.member.HTTP+registry.APIPath+"instances/s-2", string(good)); status != 503 || !strings.Contains(a.Error, "quorum") {
		t.Errorf("a write: %d %q, want 503 and why", status, a.Error)
	}
	if status, _, _ := do(t, "GET", "http://"+last.member.HTTP+registry.APIPath+"instances?linearizable=1", ""); status != 503 {
		t.Errorf("a linearizable read: %d, want 503", status)
	}
	// Nobody can say whether a version it does not know is of this history.
	if status, _, _ := get(t, fmt.Sprintf("http://%s%s?watch=1&from=%d", last.member.HTTP, registry.ListPath, last.stateMachine.seq()+1)); status != 503 {
		t.Errorf("a watch from a version that is ahead: %d, want 503", status)
	}
	g.nodes[1].start()
	g.nodes[2].start()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-2", 1)}); err != nil {
		t.Errorf("a write after its return: %v", err)
	}
}

// All replicas ended and started again from their disks hold what was acknowledged,
// at versions that never came before, and empty no list.
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
		// The leader gives each session its full time, and then, as all are silent, removes none.
		leader = g.leader()
		if got := leader.wantedList(); !maps.Equal(got, want) || leader.stateMachine.seq() < seq {
			t.Errorf("after the restart: %v at %d, want %v at %d or later", got, leader.stateMachine.seq(), want, seq)
		}
		eventually(t, "removals are held back", func() bool { return leader.Status().ExpiryHeld })
		if got := leader.wantedList(); len(got) != 10 {
			t.Errorf("%d of 10 are left of sessions that all fell silent at once", len(got))
		}
	}
	want := g.leader().wantedList()
	for i, f := range f {
		eventually(t, fmt.Sprintf("follower %d holds the list", i), func() bool { return f.holds(want) })
		if f.back > 0 {
			t.Errorf("follower %d went back %d times", i, f.back)
		}
	}
}

// An instance that stops renewing is removed after its time; those that renew stay.
func TestSilentInstanceIsRemoved(t *testing.T) {
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
	eventually(t, "the silent one is out", func() bool {
		return !maps.Equal(g.nodes[0].wantedList(), map[string]string{"s-0": "up 1", "s-1": "up 1", "s-2": "up 1"})
	})
	if got := g.nodes[0].wantedList(); len(got) != 2 || got["s-2"] != "" {
		t.Errorf("left are %v, want those that renew", got)
	}
	if err := c.RenewSession(testContext(t), "s-2", "x"); !errors.Is(err, registry.ErrNotFound) {
		t.Errorf("a late renewal: %v", err)
	}
}

// A replica is replaced: a new one is added, catches up, and the old one goes.
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
	http_, raft_ := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	m := registry.ReplicaInfo{ID: "r9", HTTP: http_.Addr().String(), Raft: raft_.Addr().String()}
	config := *g.nodes[0].config
	config.ID, config.DataDir, config.Join = "r9", t.TempDir(), true
	config.Replicas = append(slices.Clone(config.Replicas), m)
	if err := config.validate(); err != nil {
		t.Fatal(err)
	}
	fresh := &node{t: t, config: &config, member: m}
	fresh.serve(http_, raft_)
	defer fresh.stop()
	text, _ := json.Marshal(m)
	base := "http://" + leader.member.HTTP + registry.APIPath + "members/"
	if status, a, _ := do(t, "PUT", base+"r9", string(text)); status != 200 {
		t.Fatalf("add: %d %s", status, a.Error)
	}
	if status, a, _ := do(t, "DELETE", base+lost.member.ID, ""); status != 200 {
		t.Fatalf("drop: %d %s", status, a.Error)
	}
	eventually(t, "the new one is ready", func() bool { return fresh.ready.Load() })
	if got := fresh.wantedList(); len(got) != 1 {
		t.Errorf("the new one lists %v", got)
	}
	s := leader.Status()
	ids := make([]string, len(s.Replicas))
	for i, m := range s.Replicas {
		if ids[i] = m.ID; m.HTTP == "" {
			t.Errorf("replica %s has no address", m.ID)
		}
	}
	if len(ids) != 3 || !slices.Contains(ids, "r9") || slices.Contains(ids, lost.member.ID) {
		t.Errorf("the group is %v", ids)
	}
}
