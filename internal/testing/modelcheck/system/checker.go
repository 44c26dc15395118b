package system

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"barleywick/internal/registry"
)

// checker knows what was promised and not how it is kept: it is told what is done, asks
// nobody, and shares no code with what it judges.
type checker struct {
	policyEpoch   uint64
	policyVersion uint64            // the version of the policy that was looked at last
	listByVersion map[uint64]string // the list at each version
	acts          []*timedAct
	ops           []*recordCall
	acknowledged  map[string][]acknowledgedWrite // by key
	newestTokens  map[string]uint64              // by lease: the token of the grant seen last
	fencedWrites  int
	timedActs     int
	advice        int
	policies      int
	serverStops   int
	lists         int // lists
	jointPolicies int

	requests int
}

// timedAct is a timed one: from its begin until it ended, or its context did.
type timedAct struct {
	claim       string
	process     *process
	incarnation uint64
	begin, end  time.Duration
}

type acknowledgedWrite struct {
	value   string
	version uint64
}

// recordCall is a call on a record, for a check of the history.
type recordCall struct {
	key, value, read     string
	started, ended       time.Duration
	completed, succeeded bool
}

func newChecker() *checker {
	return &checker{listByVersion: make(map[uint64]string), acknowledged: make(map[string][]acknowledgedWrite), newestTokens: make(map[string]uint64)}
}

// beginAct notes that a timed act begins, and looks whether another one goes on.
func (j *checker) beginAct(w *world, k *controller, claim string, until time.Duration) *timedAct {
	now := k.now
	j.acts = slices.DeleteFunc(j.acts, func(a *timedAct) bool { return a.end <= now || !a.process.up || a.process.incarnation != a.incarnation })
	for _, a := range j.acts {
		if a.claim != claim {
			w.violated("%s acts under %s while %s does under %s, until %v at the latest", k.name, claim, a.process.name, a.claim, a.end)
		}
	}
	a := &timedAct{claim, &k.process, k.incarnation, now, until}
	j.acts = append(j.acts, a)
	j.timedActs++
	return a
}

// checkAdvisers looks, as one is given, whether two may.
func (j *checker) checkAdvisers(w *world) {
	j.advice++
	var may []string
	for _, k := range w.controllers {
		if k.up && !k.paused && k.plannerSession != nil && k.plannerSession.Held(k.monotonic()) {
			may = append(may, k.name)
		}
	}
	if len(may) > 1 {
		w.violated("%s give the fleet's word at once", strings.Join(may, " and "))
	}
}

// checkAdviceToken looks at the token of a word that a sidecar checkAdviceToken.
func (j *checker) checkAdviceToken(w *world, x *sidecar, token uint64) {
	if token < x.adviceToken {
		w.violated("%s takes a word under token %d after one under %d", x.name, token, x.adviceToken)
	}
	x.adviceToken = token
}

// checkWrite looks at a write that has taken checkWrite under a grant: no later one may have been
// given by then.
func (j *checker) checkWrite(w *world, s *registry.State, f *registry.Fence, err error) {
	all, _ := s.Leases().List()
	for _, l := range all {
		if l.Grant == nil {
			continue
		}
		if l.Grant.Token < j.newestTokens[l.Name] {
			w.violated("%s is granted with token %d after %d", l.Name, l.Grant.Token, j.newestTokens[l.Name])
		}
		j.newestTokens[l.Name] = l.Grant.Token
	}
	if f == nil || err != nil {
		return
	}
	if j.fencedWrites++; f.Token < j.newestTokens[f.Lease] {
		w.violated("a write under %s with token %d took effect when %d had been given", f.Lease, f.Token, j.newestTokens[f.Lease])
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

// checkList compares a sidecar's list with what the list was at its version: a watch without
// a gap.
func (j *checker) checkList(w *world, x *sidecar) {
	j.lists++
	var hosts []registry.Instance
	for _, i := range x.list {
		hosts = append(hosts, i)
	}
	if text, want := listText(hosts), j.listByVersion[x.listVersion]; text != want {
		w.violated("%s holds version %d of the list as %q, it was %q", x.name, x.listVersion, text, want)
	}
}

// checkCommitted looks at what the group has just agreed on.
func (j *checker) checkCommitted(w *world) {
	if w.raft.leader < 0 {
		return
	}
	state := w.raft.replicas[w.raft.leader].state
	if seq := state.Seq(); j.listByVersion[seq] == "" {
		j.listByVersion[seq] = listText(state.FullList().Instances)
	}
	if v := state.Rollout().Version(); v != j.policyVersion {
		j.policyVersion = v
	} else {
		return
	}
	status := state.Rollout().Status()
	if status.Epoch == j.policyEpoch {
		return
	}
	j.policyEpoch = status.Epoch
	j.policies++
	w.recordStep("policy in force")
	for _, seat := range status.Roster {
		for _, x := range w.sidecars {
			if x.up && x.member == seat.Member && (!x.acting || x.active.JointChange != j.policyEpoch) {
				w.violated("epoch %d is in force, and %s, which has a seat, never acted by it and the old one", j.policyEpoch, x.name)
			}
		}
	}
	j.checkActivePolicies(w)
}

// checkActivePolicies looks, after each change, at what each sidecar acts by: all of it is by one
// policy, or by both the old and the new.
func (j *checker) checkActivePolicies(w *world) {
	var common []uint64
	first := true
	text := ""
	for _, x := range w.sidecars {
		if !x.up || !x.acting {
			continue
		}
		by := []uint64{x.active.Epoch}
		if x.active.JointChange != 0 {
			by = append(by, x.active.JointChange)
			j.jointPolicies++
		}
		text += fmt.Sprintf(" %s by %v", x.name, by)
		if first {
			common, first = by, false
		} else {
			common = slices.DeleteFunc(slices.Clone(common), func(e uint64) bool { return !slices.Contains(by, e) })
		}
	}
	if !first && len(common) == 0 {
		w.violated("old and new at once:%s", text)
	}
}

// checkServerStop looks, as a drain stops a server, at whose work it was doing and what is left.
func (j *checker) checkServerStop(w *world, s *server) {
	j.serverStops++
	for _, x := range w.sidecars {
		if i, listed := x.list[s.host]; x.up && x.requests[s.host] > 0 && listed && i.Health != registry.HealthUp {
			w.violated("%s is stopped with %d requests of %s, which knew of its drain", s.host, x.requests[s.host], x.name)
		}
	}
	for _, other := range w.servers {
		if other.zone == s.zone && !other.stopped {
			return
		}
	}
	w.violated("with %s the last server of %s is stopped", s.host, s.zone)
}

// beginCall notes that a record is about to be read, or written.
func (j *checker) beginCall(w *world, key, value string) *recordCall {
	o := &recordCall{key: key, value: value, started: w.now}
	j.ops = append(j.ops, o)
	return o
}

func (o *recordCall) complete(w *world, got string, ok bool) {
	o.ended, o.completed, o.succeeded, o.read = w.now, true, ok, got
}

// recordAcknowledged notes a write that the group has said to keep.
func (j *checker) recordAcknowledged(key, value string, version uint64) {
	j.acknowledged[key] = append(j.acknowledged[key], acknowledgedWrite{value, version})
}
