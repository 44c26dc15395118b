package system

import (
	"barleywick/internal/drain"
	"barleywick/internal/rollout"
	"barleywick/internal/testing/linearizability"
	"bytes"
	"encoding/json"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkFinalState looks at everything when all faults are long over.
func (c *checker) checkFinalState(w *world, porcupineToo bool) {
	leader := w.raft.replicas[w.raft.leader]
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
	for _, key := range sortedKeys(c.acknowledged) {
		rec, _ := leader.state.Record(key)
		for _, a := range c.acknowledged[key] {
			if a.version > rec.Version || a.version == rec.Version && a.value != string(rec.Value) {
				w.violated("%s: the write of %q was acknowledged as version %d and is lost: there is %q, version %d", key, a.value, a.version, rec.Value, rec.Version)
			}
		}
	}
	st := leader.state.Rollout().Status()
	if st.Stage != rollout.StageSettled {
		w.violated("change %d is still %s, it waits for %v", st.Change.Number, st.Stage, st.WaitingFor)
	}
	for _, sc := range w.sidecars {
		cannot := st.Document != nil && st.Document.Tenants[0].Slots > maxFirstSlots && sc == w.sidecars[0]
		if !cannot && (!sc.acting || sc.active.Epoch != st.Epoch || sc.active.JointChange != 0) {
			w.violated("%s acts by epoch %d (joint with %d, acting %v) when epoch %d has settled", sc.name, sc.active.Epoch, sc.active.JointChange, sc.acting, st.Epoch)
		}
		if sc.listVersion != leader.state.Seq() {
			w.violated("%s holds version %d of the list, which is at %d", sc.name, sc.listVersion, leader.state.Seq())
		}
	}
	var drains map[string]drain.Drain
	if rec, ok := leader.state.Record(drain.RecordKey); ok && json.Unmarshal(rec.Value, &drains) == nil {
		for m, d := range drains {
			if d.Step != drain.Done && d.Owner == drain.OwnerControllers {
				w.violated("the drain of %s is still %s: %s", m, d.Step, d.Note)
			}
		}
	}
	for _, name := range []string{policyLease, drainsLease, overloadLease, timedLease} {
		holders := 0
		for _, ctl := range w.controllers {
			if session := ctl.sessions[name]; session != nil && session.Held(ctl.monotonic()) {
				holders++
			}
		}
		if holders != 1 {
			w.violated("%s is held by %d keepers long after the last fault", name, holders)
		}
	}
	if porcupineToo {
		c.checkLinearizability(w)
	}
}

// checkLinearizability holds the history of each record against a register.
func (c *checker) checkLinearizability(w *world) {
	calls := make([]linearizability.Operation, len(c.ops))
	for i, o := range c.ops {
		calls[i] = linearizability.Operation{Key: o.key, Written: o.value, Read: o.read, Start: o.started, End: o.ended, Completed: o.completed && o.succeeded}
	}
	byKey := linearizability.GroupByKey(calls)
	for _, key := range sortedKeys(byKey) {
		if got := linearizability.Check(byKey[key], time.Minute); got != porcupine.Ok {
			w.violated("%s: the history of %d calls is not linearizable: %v", key, len(byKey[key]), got)
		}
	}
}
