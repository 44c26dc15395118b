package system

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"barleywick/internal/registry"
)

// checker checks the invariants. It is notified of each relevant action, does not depend on how
// the invariants are maintained, and shares no code with the code under test.
type checker struct {
	policyEpoch   uint64
	policyVersion uint64            // of the rollout state that was last checked
	listByVersion map[uint64]string // the endpoint list at each version
	acts          []*timedAct
	calls         []*recordCall
	acknowledged  map[string][]acknowledgedWrite // by key
	newestTokens  map[string]uint64              // by lease: the token of the latest grant

	// Counts as in Coverage.
	fencedWrites      int
	timedActs         int
	advice            int
	policies          int
	serverStops       int
	lists             int
	jointObservations int
	requests          int
}

// timedAct is an act that lasts from begin until it ends or its context does.
type timedAct struct {
	claim       string
	process     *process
	incarnation uint64
	begin, end  time.Duration
}

// acknowledgedWrite is a write that the registry has confirmed to a client.
type acknowledgedWrite struct {
	value   string
	version uint64
}

// recordCall is a call that reads or writes a record.
type recordCall struct {
	key, value, read     string
	started, ended       time.Duration
	completed, succeeded bool
}

func newChecker() *checker {
	return &checker{
		listByVersion: make(map[uint64]string),
		acknowledged:  make(map[string][]acknowledgedWrite),
		newestTokens:  make(map[string]uint64),
	}
}

// beginAct records a timed act, and checks that no act under another claim is in progress.
func (c *checker) beginAct(w *world, ctl *controller, claim string, until time.Duration) *timedAct {
	now := ctl.now
	c.acts = slices.DeleteFunc(c.acts, func(a *timedAct) bool { return a.end <= now || !a.process.up || a.process.incarnation != a.incarnation })
	for _, a := range c.acts {
		if a.claim != claim {
			w.recordViolation("%s acts under claim %s while %s still acts under claim %s, until %v at the latest", ctl.name, claim, a.process.name, a.claim, a.end)
		}
	}
	a := &timedAct{claim, &ctl.process, ctl.incarnation, now, until}
	c.acts = append(c.acts, a)
	c.timedActs++
	return a
}

// checkAdvisers is called when overload advice is given. It checks that only one controller may give it.
func (c *checker) checkAdvisers(w *world) {
	c.advice++
	var holders []string
	for _, ctl := range w.controllers {
		if ctl.up && !ctl.paused && ctl.plannerSession != nil && ctl.plannerSession.Held(ctl.monotonic()) {
			holders = append(holders, ctl.name)
		}
	}
	if len(holders) > 1 {
		w.recordViolation("%s may give overload advice at the same time", strings.Join(holders, " and "))
	}
}

// checkAdviceToken checks that the tokens of the advice that a sidecar accepts never decrease.
func (c *checker) checkAdviceToken(w *world, sc *sidecar, token uint64) {
	if token < sc.adviceToken {
		w.recordViolation("%s accepts advice under token %d after advice under token %d", sc.name, token, sc.adviceToken)
	}
	sc.adviceToken = token
}

// checkWrite checks that fencing tokens never decrease, and that a fenced write that succeeded was
// made under the newest grant.
func (c *checker) checkWrite(w *world, s *registry.State, f *registry.Fence, err error) {
	all, _ := s.Leases().List()
	for _, l := range all {
		if l.Grant == nil {
			continue
		}
		if l.Grant.Token < c.newestTokens[l.Name] {
			w.recordViolation("lease %s is granted with token %d after token %d", l.Name, l.Grant.Token, c.newestTokens[l.Name])
		}
		c.newestTokens[l.Name] = l.Grant.Token
	}
	if f == nil || err != nil {
		return
	}
	if c.fencedWrites++; f.Token < c.newestTokens[f.Lease] {
		w.recordViolation("a write under lease %s with token %d succeeded after token %d had been granted", f.Lease, f.Token, c.newestTokens[f.Lease])
	}
}

// listText formats an endpoint list for comparison.
func listText(hosts []registry.Instance) string {
	lines := make([]string, 0, len(hosts))
	for _, i := range hosts {
		lines = append(lines, i.Host+" "+string(i.Health))
	}
	slices.Sort(lines)
	return strings.Join(lines, ", ")
}

// checkList compares a sidecar's endpoint list with the registry's list at the same version. They
// differ if the watch has missed a change.
func (c *checker) checkList(w *world, sc *sidecar) {
	c.lists++
	var hosts []registry.Instance
	for _, i := range sc.list {
		hosts = append(hosts, i)
	}
	if text, want := listText(hosts), c.listByVersion[sc.listVersion]; text != want {
		w.recordViolation("%s: endpoint list at version %d: got %q, want %q", sc.name, sc.listVersion, text, want)
	}
}

// checkCommitted checks the leader's state after a commit.
func (c *checker) checkCommitted(w *world) {
	if w.raft.leader < 0 {
		return
	}
	state := w.raft.replicas[w.raft.leader].state
	if seq := state.Seq(); c.listByVersion[seq] == "" {
		c.listByVersion[seq] = listText(state.FullList().Instances)
	}
	version := state.Rollout().Version()
	if version == c.policyVersion {
		return
	}
	c.policyVersion = version
	status := state.Rollout().Status()
	if status.Epoch == c.policyEpoch {
		return
	}
	c.policyEpoch = status.Epoch
	c.policies++
	w.recordStep("policy in force")
	for _, entry := range status.Roster {
		for _, sc := range w.sidecars {
			if sc.up && sc.member == entry.Member && (!sc.acting || sc.active.JointChange != c.policyEpoch) {
				w.recordViolation("epoch %d is in force, but %s, which is in the roster, is not in its joint stage", c.policyEpoch, sc.name)
			}
		}
	}
	c.checkActivePolicies(w)
}

// checkActivePolicies checks that at least one policy is common to all sidecars that apply any. A sidecar
// applies one policy or, in the joint stage, by both the old and the new one.
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
			c.jointObservations++
		}
		text += fmt.Sprintf(" %s by %v", sc.name, by)
		if first {
			common, first = by, false
		} else {
			common = slices.DeleteFunc(slices.Clone(common), func(e uint64) bool { return !slices.Contains(by, e) })
		}
	}
	if !first && len(common) == 0 {
		w.recordViolation("no policy is common to all sidecars:%s", text)
	}
}

// checkServerStop is called when a drain stops a server. It checks that the server has no requests
// in flight of a sidecar that has received its drain mark, and is not the last one of its zone.
func (c *checker) checkServerStop(w *world, s *server) {
	c.serverStops++
	for _, sc := range w.sidecars {
		if i, listed := sc.list[s.host]; sc.up && sc.requests[s.host] > 0 && listed && i.Health != registry.HealthUp {
			w.recordViolation("%s is stopped with %d requests in flight of %s, which has received its drain mark", s.host, sc.requests[s.host], sc.name)
		}
	}
	for _, other := range w.servers {
		if other.zone == s.zone && !other.stopped {
			return
		}
	}
	w.recordViolation("stopping %s stops the last server of %s", s.host, s.zone)
}

// beginCall records the start of a call that reads or writes a record.
func (c *checker) beginCall(w *world, key, value string) *recordCall {
	o := &recordCall{key: key, value: value, started: w.now}
	c.calls = append(c.calls, o)
	return o
}

// complete records the result of the call.
func (r *recordCall) complete(w *world, got string, ok bool) {
	r.ended, r.completed, r.succeeded, r.read = w.now, true, ok, got
}

// recordAcknowledged records a write that the registry has acknowledged.
func (c *checker) recordAcknowledged(key, value string, version uint64) {
	c.acknowledged[key] = append(c.acknowledged[key], acknowledgedWrite{value, version})
}
