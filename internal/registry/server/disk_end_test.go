package server

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// write registers an instance with one replica, and reports whether that was acknowledged.
func (g *gatedGroup) write(m registry.ReplicaInfo, host string, bound time.Duration) bool {
	c, err := client.New([]string{m.HTTP}, 1)
	if err != nil {
		g.t.Error(err)
		return false
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	_, err = c.Register(ctx, registry.RegisterRequest{Instance: instance(host, 1)})
	return err == nil
}

// startWriting writes through a replica until the caller calls stop or enough is written. stop
// returns the instances whose registration was acknowledged.
func (g *gatedGroup) startWriting(m registry.ReplicaInfo) (stop func() []string) {
	ending, acknowledged := make(chan struct{}), make(chan []string, 1)
	go func() {
		var hosts []string
		defer func() { acknowledged <- hosts }()
		for i := range 200 {
			select {
			case <-ending:
				return
			default:
			}
			if host := fmt.Sprint("w-", i); g.write(m, host, time.Second) {
				hosts = append(hosts, host)
			}
		}
	}()
	return func() []string {
		close(ending)
		return <-acknowledged
	}
}

// diskEvents are what has Raft's own goroutine write, in a group that is being written to or asked
// for votes.
var diskEvents = map[string]func(g *gatedGroup, target, candidate registry.ReplicaInfo) (stop func() []string){
	"entries": func(g *gatedGroup, target, _ registry.ReplicaInfo) func() []string {
		return g.startWriting(g.leaderAmong(g.members))
	},
	"vote": func(g *gatedGroup, target, candidate registry.ReplicaInfo) func() []string {
		g.requestVote(target, candidate)
		return func() []string { return nil }
	},
}

// target returns the leader or a follower, and another replica.
func (g *gatedGroup) target(leads bool) (target, other registry.ReplicaInfo) {
	g.t.Helper()
	leader := g.leaderAmong(g.members)
	others := g.others(leader.ID)
	if leads {
		return leader, others[0]
	}
	return others[0], others[1]
}

// A replica whose disk hangs in a call of Raft's own goroutine ends in time, loses no write that
// was acknowledged, and starts again on its folder.
func TestEndWhileRaftWaitsForItsDisk(t *testing.T) {
	for name, begin := range diskEvents {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/leader=%v", name, leads), func(t *testing.T) {
				t.Parallel()
				g := startGatedGroup(t)
				target, other := g.target(leads)
				if !g.write(target, "before", patience) {
					t.Fatal("a write failed before the disk hangs")
				}
				replica := g.replicas[target.ID]
				replica.Hold(syncs)
				stop := begin(g, target, other)
				t.Logf("the disk hangs at %v", replica.awaitHeld())
				told := time.Now()
				replica.sendTerm()
				replica.endsInTime(told)
				acknowledged := append(stop(), "before")
				replica.killAndWait()
				g.start(target.ID)
				awaitReady(t, target)
				g.checkListed(target, acknowledged)
			})
		}
	}
}

// checkListed waits until a replica lists instances.
func (g *gatedGroup) checkListed(m registry.ReplicaInfo, hosts []string) {
	g.t.Helper()
	g.t.Logf("%d writes were acknowledged", len(hosts))
	eventually(g.t, "the replica lists what was acknowledged", func() bool {
		_, _, text := get(g.t, "http://"+m.HTTP+registry.ListPath)
		for _, host := range hosts {
			if !strings.Contains(text, `"`+host+`"`) {
				return false
			}
		}
		return true
	})
}

// Once the end of a replica has begun, its Raft begins no further transaction on the disk: on a
// slow disk each costs seconds. BoltDB syncs a transaction twice, so one more sync belongs to
// the transaction that is under way.
func TestNoTransactionBeginsOnceTheEndHasBegun(t *testing.T) {
	for name, begin := range diskEvents {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/leader=%v", name, leads), func(t *testing.T) {
				t.Parallel()
				g := startGatedGroup(t)
				target, other := g.target(leads)
				replica := g.replicas[target.ID]
				replica.Hold(syncs)
				defer begin(g, target, other)()
				allowed := 1
				if replica.awaitHeld().Name == "fsync" {
					allowed = 2 // the file grows first
				}
				replica.sendTerm()
				// Raft is told to end right after the connections to the other replicas.
				eventually(t, "the connections to other replicas are closed", func() bool { return !listens(target.Raft) })
				before := len(replica.Calls())
				for !replica.hasEnded() {
					replica.ReleaseHeld()
					eventually(t, "a call is held or the process has ended", func() bool { return replica.hasEnded() || len(replica.Held()) > 0 })
				}
				later := replica.Calls()[before:]
				if n := countSyncs(later); n > allowed {
					t.Errorf("%d syncs began after the end had begun, want %d at most: %v", n, allowed, later)
				}
			})
		}
	}
}

// Asked for its vote on a disk of which each sync takes 3 s, a replica ends in time.
func TestEndOnASlowDisk(t *testing.T) {
	const syncTime = 3 * time.Second
	for _, leads := range []bool{true, false} {
		t.Run(fmt.Sprintf("leader=%v", leads), func(t *testing.T) {
			t.Parallel()
			g := startGatedGroup(t)
			target, other := g.target(leads)
			replica := g.replicas[target.ID]
			replica.Hold(syncs)
			g.requestVote(target, other)
			replica.awaitHeld()
			go func() { // ends with the process
				for !replica.hasEnded() {
					time.Sleep(syncTime / 100)
					replica.ReleaseOlder(syncTime)
				}
			}()
			told := time.Now()
			replica.sendTerm()
			replica.endsInTime(told)
		})
	}
}

// While a replica's disk hangs nothing that it has not stored is acknowledged, in particular not
// as the replica ends: the only one of its group answers no write with success.
func TestNoWriteIsAcknowledgedThatIsNotOnDisk(t *testing.T) {
	m, config := replicaWithMembership(t)
	r := startGated(t, config, nil)
	awaitReady(t, m)
	g := &gatedGroup{processGroup: processGroup{t: t, members: []registry.ReplicaInfo{m}}}
	r.Hold(syncs)
	acknowledged := make(chan bool, 1)
	go func() { acknowledged <- g.write(m, "s-1", endBound) }()
	r.awaitHeld()
	r.sendTerm()
	if <-acknowledged {
		t.Error("a write was acknowledged whose entry was never synced")
	}
}

// sendHeartbeat sends a replica a heartbeat of a leader in a later term. It returns after a second if
// there is no answer.
func (g *processGroup) sendHeartbeat(to, from registry.ReplicaInfo) {
	g.t.Helper()
	layer := newStreamLayer(listen(g.t, "127.0.0.1:0"), nil, func() (string, uint64) { return "test", 0 })
	transport := raft.NewNetworkTransport(layer, 1, time.Second, nil)
	defer transport.Close()
	request := &raft.AppendEntriesRequest{
		RPCHeader: raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte(from.ID), Addr: []byte(from.Raft)},
		Term:      1000,
	}
	var response raft.AppendEntriesResponse
	err := transport.AppendEntries(raft.ServerID(to.ID), raft.ServerAddress(to.Raft), request, &response)
	g.t.Logf("the heartbeat: success %v, %v", response.Success, err)
}

// A replica whose disk hangs while it stores the term of a heartbeat ends in time: a goroutine of the
// transport stores that one, for which Raft's end does not wait.
func TestEndWhileTheTermOfAHeartbeatIsStored(t *testing.T) {
	t.Parallel()
	g := startGatedGroup(t)
	target, other := g.target(false)
	replica := g.replicas[target.ID]
	replica.Hold(syncs)
	go g.sendHeartbeat(target, other)
	t.Logf("the disk hangs at %v", replica.awaitHeld())
	told := time.Now()
	replica.sendTerm()
	replica.endsInTime(told)
}

// A snapshot that takes long to store, while the log is stored as fast as ever, neither ends the leadership
// nor has a write fail.
func TestSlowSnapshotDoesNotEndLeadership(t *testing.T) {
	g := startGroup(t, 3)
	leader := g.leader()
	term := leader.raft.CurrentTerm()
	end := leader.storage.terms.calls.begin("snapshot") // what timedSnapshotSink.Close does
	defer end()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if got := leader.raft.CurrentTerm(); got != term {
			t.Fatalf("its leadership has ended: it is in term %d, it led in %d", got, term)
		}
	}
}
