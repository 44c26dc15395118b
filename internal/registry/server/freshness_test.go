package server

import (
	"fmt"
	"testing"

	"barleywick/internal/registry"
)

// What happens: a replica calls its reads current, or linearizable, without a command that is
// within the index it was told. Why: Raft's applied index counts commands that were handed to
// the goroutine that applies them, which may not have run yet. Forced: the state machine is
// held while a command is committed.
func TestStateHoldsWhatIsApplied(t *testing.T) {
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
		t.Errorf("the state does not hold what was acknowledged, at %d", before)
	}
	n.stateMachine.mu.Lock()
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		_, _ = n.apply(registry.Command{Op: registry.OpFoundGroup, Group: "test"}) // it may change nothing
	}()
	eventually(t, "the command is handed to the state machine", func() bool { return n.raft.AppliedIndex() > before })
	if index := n.raft.AppliedIndex(); n.stateHolds(index) {
		t.Errorf("the state is said to hold %d, and the state machine is held", index)
	}
	n.stateMachine.mu.Unlock()
	<-registered
	if index := n.raft.AppliedIndex(); !n.stateHolds(index) {
		t.Errorf("the state does not hold %d once it is applied", index)
	}
}

// A replica that starts again from a snapshot and a log knows what its state holds, also
// where the log ends with entries that are no commands.
func TestStateHoldsWhatWasRestored(t *testing.T) {
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
