package server

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sys/unix"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// electionBound is how long a group may take to a new leader: by docs/REGISTRY.md a replica
// stands for election after two election timeouts of 200 ms without a heartbeat at the
// latest; ten such times leave room for split votes.
const electionBound = 10 * 2 * 200 * time.Millisecond

// processGroup is a group of replicas that run as processes of their own.
type processGroup struct {
	t         *testing.T
	members   []registry.ReplicaInfo
	processes map[string]*process // by id
}

func startProcessGroup(t *testing.T) *processGroup {
	t.Helper()
	g := &processGroup{t: t, members: newMembers(t, "r0", "r1", "r2"), processes: make(map[string]*process)}
	for _, m := range g.members {
		g.processes[m.ID] = startProcess(t, "", writeConfig(t, map[string]any{
			"group": "test", "id": m.ID, "data": filepath.Join(t.TempDir(), "data"), "replicas": g.members, "timing": map[string]any{"election_ms": 200},
		}))
	}
	for _, m := range g.members {
		awaitReady(t, m)
	}
	return g
}

// leaderAmong waits until one of some replicas leads.
func (g *processGroup) leaderAmong(members []registry.ReplicaInfo) (leader registry.ReplicaInfo) {
	g.t.Helper()
	eventually(g.t, "there is a leader", func() bool {
		for _, m := range members {
			_, _, text := get(g.t, "http://"+m.HTTP+registry.APIPath+"status")
			if strings.Contains(text, `"state":"leader"`) {
				leader = m
				return true
			}
		}
		return false
	})
	return leader
}

// setDiskFull has a replica's writes to files fail beyond their first byte, or succeed again.
func (g *processGroup) setDiskFull(id string, full bool) {
	g.t.Helper()
	pid := g.processes[id].command.Process.Pid
	var limit unix.Rlimit
	err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit)
	if limit.Cur = limit.Max; full {
		limit.Cur = 1
	}
	if err == nil {
		err = unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil)
	}
	if err != nil {
		g.t.Fatal(err)
	}
}

// register registers an instance with some replicas, and returns how long that took.
func (g *processGroup) register(members []registry.ReplicaInfo, host string, bound time.Duration) time.Duration {
	g.t.Helper()
	var addrs []string
	for _, m := range members {
		addrs = append(addrs, m.HTTP)
	}
	c, err := client.New(addrs, 1)
	if err != nil {
		g.t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	begin := time.Now()
	if _, err := c.Register(ctx, registry.RegisterRequest{Instance: instance(host, 1)}); err != nil {
		g.t.Errorf("%s is not registered within %v: %v", host, bound, err)
	}
	return time.Since(begin)
}

// others returns the replicas but one.
func (g *processGroup) others(id string) (others []registry.ReplicaInfo) {
	for _, m := range g.members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	return others
}

// requestVote asks a replica for its vote in a later term as a leadership transfer does,
// for which the replica gives way even if it leads.
func (g *processGroup) requestVote(of, candidate registry.ReplicaInfo) {
	g.t.Helper()
	layer := newStreamLayer(listen(g.t, "127.0.0.1:0"), nil, func() (string, uint64) { return "test", 0 })
	transport := raft.NewNetworkTransport(layer, 1, time.Second, nil)
	defer transport.Close()
	request := &raft.RequestVoteRequest{
		RPCHeader: raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte(candidate.ID), Addr: []byte(candidate.Raft)},
		Term:      1000, LastLogIndex: 1 << 40, LastLogTerm: 1 << 40, LeadershipTransfer: true,
	}
	var response raft.RequestVoteResponse
	err := transport.RequestVote(raft.ServerID(of.ID), raft.ServerAddress(of.Raft), request, &response)
	g.t.Logf("the vote: granted %v, %v", response.Granted, err)
}

// What happens: a leader whose disk is full has to store a later term. Raft's own goroutine
// waits for room there, while the goroutines that replicate go on sending heartbeats. To the
// other replicas it leads, so they elect nobody: one full disk stops every write of the fleet
// until it has room. What showed it: for 60 s `rejecting pre-vote request since we have a
// leader` every 0.4 s at one replica, the leader it names answering no vote request, and
// `no leader is known` to the callers of all three.
func TestLeaderThatWaitsForItsDiskDoesNotClaimToLead(t *testing.T) {
	t.Parallel()
	g := startProcessGroup(t)
	leader := g.leaderAmong(g.members)
	g.setDiskFull(leader.ID, true)
	others := g.others(leader.ID)
	g.requestVote(leader, others[0])
	took := g.register(others, "s-1", electionBound)
	t.Logf("a write was taken after %v", took)
}

// What happens: a follower's disk was full for some seconds. It has room again, and the
// leader gives way. For up to ten seconds more the follower rejects every candidate `since
// we have a leader`. Why: the leader's goroutine that replicates to that follower sleeps
// between two tries, up to 10.24 s after a dozen failures, and notices only then that the
// replica leads no longer. Its heartbeats go on until it returns. So the second of two full
// disks, one after the other, stops all writes though a quorum has room.
func TestHeartbeatsEndWithLeadership(t *testing.T) {
	t.Parallel()
	g := startProcessGroup(t)
	leader := g.leaderAmong(g.members)
	others := g.others(leader.ID)
	follower := others[0]
	g.setDiskFull(follower.ID, true)
	for i := range 8 {
		g.register(g.members, fmt.Sprint("s-", i), patience)
		time.Sleep(time.Second)
	}
	g.setDiskFull(follower.ID, false)
	g.setDiskFull(leader.ID, true)
	took := g.register(others, "s-last", electionBound)
	t.Logf("a write was taken after %v", took)
}

// What happens: a follower's disk was full, has room again, and for up to ten seconds more
// gets nothing of what was written. Why: Raft doubles its pause after each try that fails,
// up to 10.24 s. A change of the list counts as told to sidecars after 6 s, so the follower
// has to have it by then.
func TestReplicationGoesOnOnceThereIsRoom(t *testing.T) {
	const toldBound = 6 * time.Second
	t.Parallel()
	g := startProcessGroup(t)
	leader := g.leaderAmong(g.members)
	follower := g.others(leader.ID)[0]
	g.setDiskFull(follower.ID, true)
	g.register(g.members, "s-1", patience)
	time.Sleep(12 * time.Second) // the pause of 10.24 s begins after 10.2 s
	g.setDiskFull(follower.ID, false)
	begin := time.Now()
	eventually(t, "the follower lists the instance", func() bool {
		_, header, text := get(t, "http://"+follower.HTTP+registry.ListPath)
		return strings.Contains(text, "s-1") && strings.HasPrefix(header.Get(registry.ReadHeader), registry.ReadCurrent)
	})
	if took := time.Since(begin); took > toldBound {
		t.Errorf("the follower has the list %v after there was room, want %v at most", took, toldBound)
	} else {
		t.Logf("the follower has the list %v after there was room", took)
	}
}
