package server

import (
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// closesInTime closes a replica, and fails the test if that takes longer than the bound.
func closesInTime(t *testing.T, n *node) {
	t.Helper()
	n.up = false
	n.server.Close()
	closed := make(chan error, 1)
	begin := time.Now()
	go func() { closed <- n.Close() }()
	select {
	case err := <-closed:
		t.Logf("closed after %v: %v", time.Since(begin).Round(time.Millisecond), err)
	case <-time.After(endBound):
		t.Fatalf("the replica is not closed %v after it was told", endBound)
	}
}

// What happens: a replica that is told to end hangs for ever. Why: a write that its log has
// committed waits to be applied in a channel between two goroutines of the Raft library. At
// the end the one that reads the channel returns and leaves what is in it, and whoever waits
// for that write waits for ever: the library answers it no more. The leader's own work
// (claims and sessions that expire, the barrier of a new leader) waits in Close that way.
// What showed it: the goroutines of a replica that had not ended 15 s after its end began,
// all in raft.(*deferError).Error below Replica.apply, and Close in WaitGroup.Wait.
//
// Forced: the state machine is held, writes of the leader's own work are committed behind
// it, and it is let go as Raft ends.
func TestEndWithWritesThatAreNotApplied(t *testing.T) {
	g := startGroup(t, 1)
	n := g.nodes[0]
	const writes = 16
	before := n.raft.LastIndex()
	n.stateMachine.mu.Lock()
	for i := range uint64(writes) {
		n.background.Go(func() {
			_, _ = n.apply(registry.Command{Op: registry.OpFoundGroup, Group: "test"}) // it may fail: the replica ends
		})
		// One by one: writes that come together are applied together.
		eventually(t, "the write is committed", func() bool { return n.raft.CommitIndex() > before+i })
	}
	go func() {
		for n.raft.State() != raft.Shutdown {
			time.Sleep(time.Millisecond)
		}
		n.stateMachine.mu.Unlock()
	}()
	closesInTime(t, n)
}

// stalledReader delivers nothing until it is closed.
type stalledReader struct{ closed chan struct{} }

func (r stalledReader) Read([]byte) (int, error) {
	<-r.closed
	return 0, io.EOF
}

// What happens: a replica that is told to end hangs as long as another replica's
// connection stays open and silent. Why: the replica installs a snapshot, whose bytes Raft's
// own goroutine reads from the connection without a deadline; a sender that was paused or cut
// off sends no more. The connections that the replica has accepted were closed only after
// that goroutine had returned.
func TestEndWhileASnapshotStalls(t *testing.T) {
	g := startGroup(t, 1)
	n := g.nodes[0]
	layer := newStreamLayer(listen(t, "127.0.0.1:0"), nil, func() (string, uint64) { return "test", 0 })
	transport := raft.NewNetworkTransport(layer, 1, time.Minute, nil)
	stalled := stalledReader{make(chan struct{})}
	go func() { // ends when the replica has closed the connection, or with the test's process
		request := &raft.InstallSnapshotRequest{
			RPCHeader:       raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("r9"), Addr: []byte("127.0.0.1:1")},
			SnapshotVersion: raft.SnapshotVersionMax, Term: 1000, LastLogIndex: 1 << 40, LastLogTerm: 999, Size: 1 << 20,
			Configuration: raft.EncodeConfiguration(raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(n.member.ID), Address: raft.ServerAddress(n.member.Raft)}}}),
		}
		_ = transport.InstallSnapshot(raft.ServerID(n.member.ID), raft.ServerAddress(n.member.Raft), request, new(raft.InstallSnapshotResponse), stalled)
	}()
	defer close(stalled.closed)
	eventually(t, "the snapshot is being received", func() bool { return n.raft.CurrentTerm() == 1000 })
	closesInTime(t, n)
}

// A leader that has given way while its disk is full, and whose term waits for room, ends in
// time.
func TestEndWhileATermWaits(t *testing.T) {
	t.Parallel()
	g := startProcessGroup(t)
	leader := g.leaderAmong(g.members)
	g.setDiskFull(leader.ID, true)
	g.requestVote(leader, g.others(leader.ID)[0])
	ended := make(chan struct{})
	go func() {
		g.processes[leader.ID].terminate()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(endBound):
		t.Errorf("the replica has not ended %v after SIGTERM", endBound)
		g.processes[leader.ID].command.Process.Kill()
		<-ended
	}
}

// A caller that polls and one that watches do not hold the end of a replica: they are
// answered as soon as it begins.
func TestEndWithCallersThatWait(t *testing.T) {
	t.Parallel()
	m := newMembers(t, "r0")[0]
	p := startProcess(t, "", writeConfig(t, singleReplica(m, filepath.Join(t.TempDir(), "data"), nil)))
	awaitReady(t, m)
	answered := make(chan error, 2)
	for _, path := range []string{registry.APIPath + "leases?after=4503599627370496&wait_ms=5000", registry.ListPath + "?watch=1"} {
		go func() {
			resp, err := http.Get("http://" + m.HTTP + path)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			answered <- err
		}()
	}
	eventually(t, "the callers wait", func() bool {
		_, _, text := get(t, "http://"+m.HTTP+registry.APIPath+"status")
		return strings.Contains(text, `"watches":2,`)
	})
	begin := time.Now()
	p.terminate()
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("the replica ended after %v, want 2s at most", took)
	}
	for range cap(answered) {
		if err := <-answered; err != nil {
			t.Errorf("a caller that waited: %v", err)
		}
	}
}
