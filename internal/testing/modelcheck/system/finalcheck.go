package system

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/anishathalye/porcupine"

	"barleywick/internal/drain"
	"barleywick/internal/registry"
	"barleywick/internal/rollout"
	"barleywick/internal/testing/linearizability"
)

// checkFinalState checks the invariants that hold once the system has settled after the last fault.
func (c *checker) checkFinalState(w *world, withHistories bool) {
	state := w.raft.replicas[w.raft.leader].state
	c.checkReplicasAgree(w)
	c.checkNoWriteLost(w, state)
	c.checkRolloutSettled(w, state)
	c.checkDrainsDone(w, state)
	c.checkLeasesHeld(w)
	if withHistories {
		c.checkLinearizability(w)
	}
}

// checkReplicasAgree checks that all replicas have the same state after applying the same log.
func (c *checker) checkReplicasAgree(w *world) {
	var first []byte
	for _, r := range w.raft.replicas {
		w.raft.replicate(r)
		w.raft.catchUp(r)
		text, err := json.Marshal(r.state)
		if err != nil || r.applied != len(w.raft.log) {
			w.recordViolation("%s has applied %d of %d log entries: %v", r.name, r.applied, len(w.raft.log), err)
		}
		if first == nil {
			first = text
		} else if !bytes.Equal(first, text) {
			w.recordViolation("%s and %s have applied the same log, but their states differ", w.raft.replicas[0].name, r.name)
		}
	}
}

// checkNoWriteLost checks that every acknowledged write is stored or was replaced by a later one.
func (c *checker) checkNoWriteLost(w *world, state *registry.State) {
	for _, key := range sortedKeys(c.acknowledged) {
		rec, _ := state.Record(key)
		for _, a := range c.acknowledged[key] {
			if a.version > rec.Version || a.version == rec.Version && a.value != string(rec.Value) {
				w.recordViolation("%s: write of %q, acknowledged as version %d, is lost: got %q at version %d", key, a.value, a.version, rec.Value, rec.Version)
			}
		}
	}
}

// checkRolloutSettled checks that no rollout is in progress, and that every sidecar applies the
// policy in force and has the latest endpoint list.
func (c *checker) checkRolloutSettled(w *world, state *registry.State) {
	st := state.Rollout().Status()
	if st.Stage != rollout.StageSettled {
		w.recordViolation("rollout of change %d has not settled: stage %s, waiting for %v", st.Change.Number, st.Stage, st.WaitingFor)
	}
	for _, sc := range w.sidecars {
		unsupported := st.Document != nil && st.Document.Tenants[0].Slots > firstSidecarMaxSlots && sc == w.sidecars[0]
		if !unsupported && (!sc.acting || sc.active.Epoch != st.Epoch || sc.active.JointChange != 0) {
			w.recordViolation("%s: got epoch %d, joint change %d, applying a policy %v; want epoch %d, no joint change (0), true", sc.name, sc.active.Epoch, sc.active.JointChange, sc.acting, st.Epoch)
		}
		if sc.listVersion != state.Seq() {
			w.recordViolation("%s: endpoint list: got version %d, want %d", sc.name, sc.listVersion, state.Seq())
		}
	}
}

// checkDrainsDone checks that every drain that was handed over to controllers has completed.
func (c *checker) checkDrainsDone(w *world, state *registry.State) {
	rec, ok := state.Record(drain.RecordKey)
	if !ok {
		return
	}
	var drains map[string]drain.Drain
	if json.Unmarshal(rec.Value, &drains) != nil {
		return
	}
	for machine, d := range drains {
		if d.Step != drain.Done && d.Owner == drain.OwnerControllers {
			w.recordViolation("the drain of %s has not completed: step %s: %s", machine, d.Step, d.Note)
		}
	}
}

// checkLeasesHeld checks that each lease is held by exactly one controller.
func (c *checker) checkLeasesHeld(w *world) {
	for _, name := range []string{policyLease, drainsLease, overloadLease, timedLease} {
		holders := 0
		for _, ctl := range w.controllers {
			if session := ctl.sessions[name]; session != nil && session.Held(ctl.monotonic()) {
				holders++
			}
		}
		if holders != 1 {
			w.recordViolation("lease %s is held by %d controllers after the system has settled, want 1", name, holders)
		}
	}
}

// historyTimeout bounds the check of one record's history.
const historyTimeout = time.Minute

// checkLinearizability checks that each record's history of calls is linearizable, as that of a register.
func (c *checker) checkLinearizability(w *world) {
	calls := make([]linearizability.Operation, len(c.calls))
	for i, r := range c.calls {
		calls[i] = linearizability.Operation{Key: r.key, Written: r.value, Read: r.read, Start: r.started, End: r.ended, Completed: r.completed && r.succeeded}
	}
	byKey := linearizability.GroupByKey(calls)
	for _, key := range sortedKeys(byKey) {
		if got := linearizability.Check(byKey[key], historyTimeout); got != porcupine.Ok {
			w.recordViolation("%s: linearizability check of %d calls: %v", key, len(byKey[key]), got)
		}
	}
}
