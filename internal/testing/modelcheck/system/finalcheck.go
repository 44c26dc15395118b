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

// checkFinalState checks what has to hold when the system has settled after the last fault.
func (c *checker) checkFinalState(w *world, histories bool) {
	state := w.raft.replicas[w.raft.leader].state
	c.checkReplicasAgree(w)
	c.checkNoWriteLost(w, state)
	c.checkRolloutSettled(w, state)
	c.checkDrainsDone(w, state)
	c.checkLeasesHeld(w)
	if histories {
		c.checkLinearizability(w)
	}
}

// checkReplicasAgree checks that replicas that applied the same log have the same state.
func (c *checker) checkReplicasAgree(w *world) {
	var first []byte
	for _, r := range w.raft.replicas {
		w.raft.replicate(r)
		w.raft.catchUp(r)
		text, err := json.Marshal(r.state)
		if err != nil || r.applied != len(w.raft.log) {
			w.violated("%s has applied %d of %d entries: %v", r.name, r.applied, len(w.raft.log), err)
		}
		if first == nil {
			first = text
		} else if !bytes.Equal(first, text) {
			w.violated("%s and %s have applied the same log and differ", w.raft.replicas[0].name, r.name)
		}
	}
}

// checkNoWriteLost checks that every acknowledged write is there, or was replaced by a later one.
func (c *checker) checkNoWriteLost(w *world, state *registry.State) {
	for _, key := range sortedKeys(c.acknowledged) {
		rec, _ := state.Record(key)
		for _, a := range c.acknowledged[key] {
			if a.version > rec.Version || a.version == rec.Version && a.value != string(rec.Value) {
				w.violated("%s: the write of %q was acknowledged as version %d and is lost: there is %q, version %d", key, a.value, a.version, rec.Value, rec.Version)
			}
		}
	}
}

// checkRolloutSettled checks that no rollout is under way, and that every sidecar acts by the
// policy in force and holds the latest endpoint list.
func (c *checker) checkRolloutSettled(w *world, state *registry.State) {
	st := state.Rollout().Status()
	if st.Stage != rollout.StageSettled {
		w.violated("change %d is still %s, it waits for %v", st.Change.Number, st.Stage, st.WaitingFor)
	}
	for _, sc := range w.sidecars {
		unsupported := st.Document != nil && st.Document.Tenants[0].Slots > maxFirstSlots && sc == w.sidecars[0]
		if !unsupported && (!sc.acting || sc.active.Epoch != st.Epoch || sc.active.JointChange != 0) {
			w.violated("%s acts by epoch %d (joint with %d, acting %v) when epoch %d has settled", sc.name, sc.active.Epoch, sc.active.JointChange, sc.acting, st.Epoch)
		}
		if sc.listVersion != state.Seq() {
			w.violated("%s holds version %d of the list, which is at %d", sc.name, sc.listVersion, state.Seq())
		}
	}
}

// checkDrainsDone checks that every drain that was handed over to controllers is done.
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
			w.violated("the drain of %s is still %s: %s", machine, d.Step, d.Note)
		}
	}
}

// checkLeasesHeld checks that each lease is held by one controller.
func (c *checker) checkLeasesHeld(w *world) {
	for _, name := range []string{policyLease, drainsLease, overloadLease, timedLease} {
		holders := 0
		for _, ctl := range w.controllers {
			if session := ctl.sessions[name]; session != nil && session.Held(ctl.monotonic()) {
				holders++
			}
		}
		if holders != 1 {
			w.violated("%s is held by %d controllers long after the last fault", name, holders)
		}
	}
}

// historyTimeout bounds the check of one record's history.
const historyTimeout = time.Minute

// checkLinearizability checks each record's history of calls against a register.
func (c *checker) checkLinearizability(w *world) {
	calls := make([]linearizability.Operation, len(c.calls))
	for i, r := range c.calls {
		calls[i] = linearizability.Operation{Key: r.key, Written: r.value, Read: r.read, Start: r.started, End: r.ended, Completed: r.completed && r.succeeded}
	}
	byKey := linearizability.GroupByKey(calls)
	for _, key := range sortedKeys(byKey) {
		if got := linearizability.Check(byKey[key], historyTimeout); got != porcupine.Ok {
			w.violated("%s: the history of %d calls is not linearizable: %v", key, len(byKey[key]), got)
		}
	}
}
