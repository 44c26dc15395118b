package system

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"barleywick/internal/drain"
	"barleywick/internal/registry"
	"barleywick/internal/rollout"
	"barleywick/internal/testing/linearizability"
)

// judge knows what was promised and not how it is kept: it is told what is done, asks
// nobody, and shares no code with what it judges.
type judge struct {
	epoch   uint64
	policy  uint64            // the version of the policy that was looked at last
	lists   map[uint64]string // the list at each version
	acts    []*act
	ops     []*operation
	acked   map[string][]written // by key
	newest  map[string]uint64    // by lease: the token of the grant seen last
	fenced  int
	acted   int
	words   int
	commits int
	stops   int
	checked int // lists
	jointly int

	requests int
}

// act is a timed one: from its begin until it ended, or its context did.
type act struct {
	claim      string
	of         *process
	start      uint64
	begin, end time.Duration
}

type written struct {
	value   string
	version uint64
}

// operation is a call on a record, for a check of the history.
type operation struct {
	key, value, got string
	call, ret       time.Duration
	done, ok        bool
}

func newJudge() *judge {
	return &judge{lists: make(map[uint64]string), acked: make(map[string][]written), newest: make(map[string]uint64)}
}

// begin notes that a timed act begins, and looks whether another one goes on.
func (j *judge) begin(w *world, k *keeper, claim string, until time.Duration) *act {
	now := k.now
	j.acts = slices.DeleteFunc(j.acts, func(a *act) bool { return a.end <= now || !a.of.up || a.of.starts != a.start })
	for _, a := range j.acts {
		if a.claim != claim {
			w.broken("%s acts under %s while %s does under %s, until %v at the latest", k.name, claim, a.of.name, a.claim, a.end)
		}
	}
	a := &act{claim, &k.process, k.starts, now, until}
	j.acts = append(j.acts, a)
	j.acted++
	return a
}

// word looks, as one is given, whether two may.
func (j *judge) word(w *world) {
	j.words++
	var may []string
	for _, k := range w.keepers {
		if k.up && !k.stopped && k.desked != nil && k.desked.Held(k.reads()) {
			may = append(may, k.name)
		}
	}
	if len(may) > 1 {
		w.broken("%s give the fleet's word at once", strings.Join(may, " and "))
	}
}

// takes looks at the token of a word that a sidecar takes.
func (j *judge) takes(w *world, x *sidecar, token uint64) {
	if token < x.token {
		w.broken("%s takes a word under token %d after one under %d", x.name, token, x.token)
	}
	x.token = token
}

// effect looks at a write that has taken effect under a grant: no later one may have been
// given by then.
func (j *judge) effect(w *world, s *registry.State, f *registry.Fence, err error) {
	all, _ := s.Leases().List()
	for _, l := range all {
		if l.Grant == nil {
			continue
		}
		if l.Grant.Token < j.newest[l.Name] {
			w.broken("%s is granted with token %d after %d", l.Name, l.Grant.Token, j.newest[l.Name])
		}
		j.newest[l.Name] = l.Grant.Token
	}
	if f == nil || err != nil {
		return
	}
	if j.fenced++; f.Token < j.newest[f.Lease] {
		w.broken("a write under %s with token %d took effect when %d had been given", f.Lease, f.Token, j.newest[f.Lease])
	}
}

func listText(hosts []registry.Instance) string {
	lines := make([]string, 0, len(hosts))
	for _, i := range hosts {
		lines = append(lines, i.Host+" "+string(i.Health))
	}
	slices.Sort(lines)
	return strings.Join(lines, ", ")
}

// holds compares a sidecar's list with what the list was at its version: a watch without
// a gap.
func (j *judge) holds(w *world, x *sidecar) {
	j.checked++
	var hosts []registry.Instance
	for _, i := range x.list {
		hosts = append(hosts, i)
	}
	if text, want := listText(hosts), j.lists[x.seq]; text != want {
		w.broken("%s holds version %d of the list as %q, it was %q", x.name, x.seq, text, want)
	}
}

// committed looks at what the group has just agreed on.
func (j *judge) committed(w *world) {
	if w.group.leader < 0 {
		return
	}
	state := w.group.replicas[w.group.leader].state
	if seq := state.Seq(); j.lists[seq] == "" {
		j.lists[seq] = listText(state.FullList().Instances)
	}
	if v := state.Rollout().Version(); v != j.policy {
		j.policy = v
	} else {
		return
	}
	status := state.Rollout().Status()
	if status.Epoch == j.epoch {
		return
	}
	j.epoch = status.Epoch
	j.commits++
	w.step("policy in force")
	for _, seat := range status.Roster {
		for _, x := range w.sidecars {
			if x.up && x.me == seat.Member && (!x.acting || x.acts.JointChange != j.epoch) {
				w.broken("epoch %d is in force, and %s, which has a seat, never acted by it and the old one", j.epoch, x.name)
			}
		}
	}
	j.acting(w)
}

// acting looks, after each change, at what each sidecar acts by: all of it is by one
// policy, or by both the old and the new.
func (j *judge) acting(w *world) {
	var common []uint64
	first := true
	text := ""
	for _, x := range w.sidecars {
		if !x.up || !x.acting {
			continue
		}
		by := []uint64{x.acts.Epoch}
		if x.acts.JointChange != 0 {
			by = append(by, x.acts.JointChange)
			j.jointly++
		}
		text += fmt.Sprintf(" %s by %v", x.name, by)
		if first {
			common, first = by, false
		} else {
			common = slices.DeleteFunc(slices.Clone(common), func(e uint64) bool { return !slices.Contains(by, e) })
		}
	}
	if !first && len(common) == 0 {
		w.broken("old and new at once:%s", text)
	}
}

// stopped looks, as a drain stops a server, at whose work it was doing and what is left.
func (j *judge) stopped(w *world, s *server) {
	j.stops++
	for _, x := range w.sidecars {
		if i, listed := x.list[s.host]; x.up && x.seen[s.host] > 0 && listed && i.Health != registry.HealthUp {
			w.broken("%s is stopped with %d requests of %s, which knew of its drain", s.host, x.seen[s.host], x.name)
		}
	}
	for _, other := range w.servers {
		if other.zone == s.zone && !other.stopped {
			return
		}
	}
	w.broken("with %s the last server of %s is stopped", s.host, s.zone)
}

// call notes that a record is about to be read, or written.
func (j *judge) call(w *world, key, value string) *operation {
	o := &operation{key: key, value: value, call: w.now}
	j.ops = append(j.ops, o)
	return o
}

func (o *operation) returned(w *world, got string, ok bool) {
	o.ret, o.done, o.ok, o.got = w.now, true, ok, got
}

// acknowledged notes a write that the group has said to keep.
func (j *judge) acknowledged(key, value string, version uint64) {
	j.acked[key] = append(j.acked[key], written{value, version})
}

// ends looks at everything when all faults are long over.
func (j *judge) ends(w *world, porcupineToo bool) {
	leader := w.group.replicas[w.group.leader]
	var first []byte
	for _, r := range w.group.replicas {
		w.group.replicate(r)
		w.group.catchUp(r)
		text, err := json.Marshal(r.state)
		if err != nil || r.at != len(w.group.log) {
			w.broken("%s has applied %d of %d entries: %v", r.name, r.at, len(w.group.log), err)
		}
		if first == nil {
			first = text
		} else if !bytes.Equal(first, text) {
			w.broken("%s and %s have applied the same log and differ", w.group.replicas[0].name, r.name)
		}
	}
	for _, key := range sortedKeys(j.acked) {
		rec, _ := leader.state.Record(key)
		for _, a := range j.acked[key] {
			if a.version > rec.Version || a.version == rec.Version && a.value != string(rec.Value) {
				w.broken("%s: the write of %q was acknowledged as version %d and is lost: there is %q, version %d", key, a.value, a.version, rec.Value, rec.Version)
			}
		}
	}
	st := leader.state.Rollout().Status()
	if st.Stage != rollout.StageSettled {
		w.broken("change %d is still %s, it waits for %v", st.Change.Number, st.Stage, st.WaitingFor)
	}
	for _, x := range w.sidecars {
		cannot := st.Document != nil && st.Document.Tenants[0].Slots > tooMuch && x == w.sidecars[0]
		if !cannot && (!x.acting || x.acts.Epoch != st.Epoch || x.acts.JointChange != 0) {
			w.broken("%s acts by epoch %d (joint with %d, acting %v) when epoch %d has settled", x.name, x.acts.Epoch, x.acts.JointChange, x.acting, st.Epoch)
		}
		if x.seq != leader.state.Seq() {
			w.broken("%s holds version %d of the list, which is at %d", x.name, x.seq, leader.state.Seq())
		}
	}
	var drains map[string]drain.Drain
	if rec, ok := leader.state.Record(drain.RecordKey); ok && json.Unmarshal(rec.Value, &drains) == nil {
		for m, d := range drains {
			if d.Step != drain.Done && d.Owner == drain.OwnerControllers {
				w.broken("the drain of %s is still %s: %s", m, d.Step, d.Note)
			}
		}
	}
	for _, name := range []string{policyLease, drainsLease, wordLease, timedLease} {
		holders := 0
		for _, k := range w.keepers {
			if t := k.tenures[name]; t != nil && t.Held(k.reads()) {
				holders++
			}
		}
		if holders != 1 {
			w.broken("%s is held by %d keepers long after the last fault", name, holders)
		}
	}
	if porcupineToo {
		j.linearizable(w)
	}
}

// linearizable holds the history of each record against a register.
func (j *judge) linearizable(w *world) {
	calls := make([]linearizability.Operation, len(j.ops))
	for i, o := range j.ops {
		calls[i] = linearizability.Operation{Key: o.key, Written: o.value, Read: o.got, Start: o.call, End: o.ret, Completed: o.done && o.ok}
	}
	byKey := linearizability.GroupByKey(calls)
	for _, key := range sortedKeys(byKey) {
		if got := linearizability.Check(byKey[key], time.Minute); got != porcupine.Ok {
			w.broken("%s: the history of %d calls is not linearizable: %v", key, len(byKey[key]), got)
		}
	}
}
