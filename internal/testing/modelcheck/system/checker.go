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
func (c *checker) beginAct(w *world, ctl *controller, claim string, until time.Duration) *timedAct {
	now := ctl.now
	c.acts = slices.DeleteFunc(c.acts, func(a *timedAct) bool { return a.end <= now || !a.process.up || a.process.incarnation != a.incarnation })
	for _, a := range c.acts {
		if a.claim != claim {
			w.violated("%s acts under %s while %s does under %s, until %v at the latest", ctl.name, claim, a.process.name, a.claim, a.end)
		}
	}
	a := &timedAct{claim, &ctl.process, ctl.incarnation, now, until}
	c.acts = append(c.acts, a)
	c.timedActs++
	return a
}

// checkAdvisers looks, as one is given, whether two may.
func (c *checker) checkAdvisers(w *world) {
	c.advice++
	var may []string
	for _, ctl := range w.controllers {
		if ctl.up && !ctl.paused && ctl.plannerSession != nil && ctl.plannerSession.Held(ctl.monotonic()) {
			may = append(may, ctl.name)
		}
	}
	if len(may) > 1 {
		w.violated("%s give the fleet's word at once", strings.Join(may, " and "))
	}
}

// checkAdviceToken looks at the token of a word that a sidecar checkAdviceToken.
func (c *checker) checkAdviceToken(w *world, sc *sidecar, token uint64) {
	if token < sc.adviceToken {
		w.violated("%s takes a word under token %d after one under %d", sc.name, token, sc.adviceToken)
	}
	sc.adviceToken = token
}

// checkWrite looks at a write that has taken checkWrite under a grant: no later one may have been
// given by then.
func (c *checker) checkWrite(w *world, s *registry.State, f *registry.Fence, err error) {
	all, _ := s.Leases().List()
	for _, l := range all {
		if l.Grant == nil {
			continue
		}
		if l.Grant.Token < c.newestTokens[l.Name] {
			w.violated("%s is granted with token %d after %d", l.Name, l.Grant.Token, c.newestTokens[l.Name])
		}
		c.newestTokens[l.Name] = l.Grant.Token
	}
	if f == nil || err != nil {
		return
	}
	if c.fencedWrites++; f.Token < c.newestTokens[f.Lease] {
		w.violated("a write under %s with token %d took effect when %d had been given", f.Lease, f.Token, c.newestTokens[f.Lease])
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
func (c *checker) checkList(w *world, sc *sidecar) {
	c.lists++
	var hosts []registry.Instance
	for _, i := range sc.list {
		hosts = append(hosts, i)
	}
	if text, want := listText(hosts), c.listByVersion[sc.listVersion]; text != want {
		w.violated("%s holds version %d of the list as %q, it was %q", sc.name, sc.listVersion, text, want)
	}
}

// checkCommitted looks at what the group has just agreed on.
func (c *checker) checkCommitted(w *world) {
	if w.raft.leader < 0 {
		return
	}
	state := w.raft.replicas[w.raft.leader].state
	if seq := state.Seq(); c.listByVersion[seq] == "" {
		c.listByVersion[seq] = listText(state.FullList().Instances)
	}
	if v := state.Rollout().Version(); v != c.policyVersion {
		c.policyVersion = v
	} else {
		return
	}
	status := state.Rollout().Status()
	if status.Epoch == c.policyEpoch {
		return
	}
	c.policyEpoch = status.Epoch
	c.policies++
	w.recordStep("policy in force")
	for _, seat := range status.Roster {
		for _, sc := range w.sidecars {
			if sc.up && sc.member == seat.Member && (!sc.acting || sc.active.JointChange != c.policyEpoch) {
				w.violated("epoch %d is in force, and %s, which has a seat, never acted by it and the old one", c.policyEpoch, sc.name)
			}
		}
	}
	c.checkActivePolicies(w)
}

// checkActivePolicies looks, after each change, at what each sidecar acts by: all of it is by one
// policy, or by both the old and the new.
func (c *checker) checkActivePolicies(w *world) {
	var common []uint64
	first := true
	text := ""
	for _, sc := range w.sidecars {
		if !sc.up || !sc.acting {
			continue
		}
		by := []uint64{sc.active.Epoch}
		if sc.active.JointChange != 0 {
			by = append(by, sc.active.JointChange)
			c.jointPolicies++
		}
		text += fmt.Sprintf(" %s by %v", sc.name, by)
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
func (c *checker) checkServerStop(w *world, s *server) {
	c.serverStops++
	for _, sc := range w.sidecars {
		if i, listed := sc.list[s.host]; sc.up && sc.requests[s.host] > 0 && listed && i.Health != registry.HealthUp {
			w.violated("%s is stopped with %d requests of %s, which knew of its drain", s.host, sc.requests[s.host], sc.name)
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
func (c *checker) beginCall(w *world, key, value string) *recordCall {
	o := &recordCall{key: key, value: value, started: w.now}
	c.ops = append(c.ops, o)
	return o
}

func (r *recordCall) complete(w *world, got string, ok bool) {
	r.ended, r.completed, r.succeeded, r.read = w.now, true, ok, got
}

// recordAcknowledged notes a write that the group has said to keep.
func (c *checker) recordAcknowledged(key, value string, version uint64) {
	c.acknowledged[key] = append(c.acknowledged[key], acknowledgedWrite{value, version})
}
