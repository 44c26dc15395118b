package server

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// A replica that has installed a snapshot from beyond the end of its own log, and has stored an entry after that,
// starts again on its folder.
func TestStartAfterAnInstalledSnapshot(t *testing.T) {
	g := startGroup(t, 1)
	n := g.nodes[0]
	to, at := raft.ServerID(n.member.ID), raft.ServerAddress(n.member.Raft)
	var text []byte
	n.stateMachine.view(func(s *registry.State) {
		var err error
		if text, err = json.Marshal(s); err != nil {
			t.Fatal(err)
		}
	})
	founded := uint64(0) // it has no history yet
	layer := newStreamLayer(listen(t, "127.0.0.1:0"), nil, func() (string, uint64) { return "test", founded })
	transport := raft.NewNetworkTransport(layer, 1, 10*time.Second, nil)
	defer transport.Close()
	header := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("r9"), Addr: []byte("127.0.0.1:1")}
	const last = 1 << 20
	group := raft.Configuration{Servers: []raft.Server{{ID: to, Address: at}, {ID: "r9", Address: "127.0.0.1:1"}}}
	var installed raft.InstallSnapshotResponse
	if err := transport.InstallSnapshot(to, at, &raft.InstallSnapshotRequest{
		RPCHeader: header, SnapshotVersion: raft.SnapshotVersionMax, Term: 1000, LastLogIndex: last, LastLogTerm: 999, Size: int64(len(text)),
		Configuration: raft.EncodeConfiguration(group), ConfigurationIndex: 1,
	}, &installed, bytes.NewReader(text)); err != nil || !installed.Success {
		t.Fatalf("the snapshot: %v, %v", installed.Success, err)
	}
	var appended raft.AppendEntriesResponse
	if err := transport.AppendEntries(to, at, &raft.AppendEntriesRequest{
		RPCHeader: header, Term: 1000, PrevLogEntry: last, PrevLogTerm: 999,
		Entries: []*raft.Log{{Index: last + 1, Term: 1000, Type: raft.LogNoop}},
	}, &appended); err != nil || !appended.Success {
		t.Fatalf("the entry: %v, %v", appended.Success, err)
	}
	n.stop()
	storage, err := openStorage(n.config, newRaftLogger())
	if err != nil {
		t.Fatalf("the replica cannot start again: %v", err)
	}
	storage.Close()
}

// stopFollower returns the leader, and a follower that has been stopped.
func (g *group) stopFollower() (leader, away *node) {
	g.t.Helper()
	leader = g.leader()
	for _, n := range g.nodes {
		if n != leader {
			away = n
		}
	}
	away.stop()
	return leader, away
}

// compact has a replica make a snapshot and keep so many of the entries behind it: 4096 in the
// product.
func (n *node) compact(kept uint64) {
	n.t.Helper()
	settings := n.raft.ReloadableConfig()
	settings.TrailingLogs = kept
	if err := n.raft.ReloadConfig(settings); err != nil {
		n.t.Fatal(err)
	}
	if err := n.raft.Snapshot().Error(); err != nil {
		n.t.Fatal(err)
	}
}

// A replica that was away while the others compacted their logs, and has caught up by a snapshot and what
// followed it, starts again on its folder.
func TestStartAfterCatchingUpBySnapshot(t *testing.T) {
	g := startGroup(t, 3)
	leader, away := g.stopFollower()
	for i := range 10 {
		if _, err := leader.apply(registry.Command{Op: registry.OpPutRecord, Key: "test", Value: []byte{'0' + byte(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	leader.compact(1)
	away.start()
	eventually(t, "it is ready", func() bool { return away.ready.Load() })
	if _, err := leader.apply(registry.Command{Op: registry.OpPutRecord, Key: "test", Value: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it has caught up", func() bool { return away.raft.LastIndex() == leader.raft.LastIndex() })
	away.stop()
	storage, err := openStorage(away.config, newRaftLogger())
	if err != nil {
		t.Fatalf("the replica cannot start again: %v", err)
	}
	storage.Close()
}

// A leader that ends while a read of the snapshot that it sends does not return ends in time.
func TestEndWhileASnapshotIsRead(t *testing.T) {
	g := startGroup(t, 3)
	leader, away := g.stopFollower()
	if _, err := leader.apply(registry.Command{Op: registry.OpPutRecord, Key: "test", Value: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	leader.compact(0)
	found, err := filepath.Glob(filepath.Join(leader.config.DataDir, "snapshots", "*", "state.bin"))
	if err != nil || len(found) != 1 {
		t.Fatalf("got %v, error %v, want one snapshot", found, err)
	}
	makePipe(t, found[0])
	away.start()
	awaitReader(t, found[0])
	closesInTime(t, leader)
}
