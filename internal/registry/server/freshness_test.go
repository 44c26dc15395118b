package server

import (
	"fmt"
	"testing"

	"barleywick/internal/registry"
)

// Guards against reads that are reported as current or linearizable but lack a command within
// the confirmed commit index. Raft's applied index includes commands that were passed to the
// goroutine that applies them and may not be applied yet. The test locks the state machine
// while a command is committed.
func TestStateHoldsOnlyAppliedCommands(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	register := func(host string) {
		if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance(host, 1)}); err != nil {
			t.Error(err)
		}
	}
	register("s-1")
	before := n.raft.CommitIndex()
	if !n.stateHolds(before) {
		t.Errorf("the state does not hold the acknowledged write at index %d", before)
	}
	n.stateMachine.mu.Lock()
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		_, _ = n.apply(registry.Command{Op: registry.OpFoundGroup, Group: "test"}) // the command need not change the state
	}()
	eventually(t, "the command is passed to the state machine", func() bool { return n.raft.AppliedIndex() > before })
	if index := n.raft.AppliedIndex(); n.stateHolds(index) {
		t.Errorf("stateHolds reports index %d as applied while the state machine is locked", index)
	}
	n.stateMachine.mu.Unlock()
	<-registered
	if index := n.raft.AppliedIndex(); !n.stateHolds(index) {
		t.Errorf("the state does not hold index %d after the command was applied", index)
	}
}

// After a restart from a snapshot and a log, stateHolds is true for the whole committed log,
// also if the log ends with entries that are not commands.
func TestStateHoldsRestoredSnapshotAndLog(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	for i := range 3 {
		if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance(fmt.Sprint("s-", i), 1)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := n.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		n.stop()
		n.start()
		g.leader()
		if index := n.raft.CommitIndex(); !n.stateHolds(index) {
			t.Errorf("the state does not hold the log up to %d after a restart", index)
		}
	}
}
