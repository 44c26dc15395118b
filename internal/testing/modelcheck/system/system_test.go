package system

import (
	"maps"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry"
)

// A fixed set of schedules violates no invariant, and enough is checked in them.
func TestSchedules(t *testing.T) {
	const schedules = 250
	seen, found := Explore(1, schedules, true)
	if found != nil {
		t.Fatal(found.Shrink().ReplayText())
	}
	t.Logf("%d schedules: %d events, %d faults, %d of %d pairs, %d acts, %d fenced writes, %d advice, %d lists, %d writes, %d commits, %d stops",
		seen.Schedules, seen.Events, seen.Faults, len(seen.Pairs), seen.MaxPairs(), seen.TimedActs, seen.FencedWrites, seen.Advice, seen.ListComparisons, seen.AcknowledgedWrites, seen.CommittedPolicies, seen.ServerStops)
	for what, n := range map[string]int{
		"faults": seen.Faults / 2, "acts": seen.TimedActs / 100, "fenced writes": seen.FencedWrites / 20, "advice": seen.Advice / 30, "lists": seen.ListComparisons / 5,
		"writes": seen.AcknowledgedWrites / 10, "commits": seen.CommittedPolicies, "stops": seen.ServerStops, "pairs of a fault and a step": schedules * len(seen.Pairs) / seen.MaxPairs() * 10 / 9,
	} {
		if n < schedules {
			t.Errorf("%s: too few were checked, want at least %d per schedule", what, n/schedules)
		}
	}
}

// A schedule is determined by its seed and faults: a replay from the plan's text form runs the same
// events.
func TestScheduleIsReplayed(t *testing.T) {
	all, _ := Explore(50, batchSize, true)
	plan := drawPlan(51, &all, true)
	parsed, err := ParsePlan(FormatPlan(plan))
	if err != nil {
		t.Fatal(err)
	}
	a, errA := Run(51, plan)
	b, errB := Run(51, parsed)
	if errA != nil || errB != nil || a.Events != b.Events || !maps.Equal(a.Steps, b.Steps) || !maps.Equal(a.Pairs, b.Pairs) || a.Faults == 0 {
		t.Errorf("%s: got %d and %d events, %d faults, errors %v and %v; want two identical runs with faults", FormatPlan(plan), a.Events, b.Events, a.Faults, errA, errB)
	}
	for _, bad := range []string{"kill", "kill leader for 1s", "kill leader for x at a#1", "kill leader for 1s at a#0", "bite leader for 1s at a#1"} {
		if _, err := ParsePlan(bad); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("ParsePlan(%q): got error %v, want a one-line error", bad, err)
		}
	}
}

// The checker reports each kind of violation when it is provoked.
func TestCheckerFindsViolations(t *testing.T) {
	for want, violate := range map[string]func(w *world){
		"acts under": func(w *world) {
			w.checker.beginAct(w, w.controllers[0], "a", w.now+time.Second)
			w.checker.beginAct(w, w.controllers[1], "b", w.now+time.Second)
		},
		"no policy is common to all sidecars": func(w *world) {
			for i, sc := range w.sidecars {
				sc.acting, sc.active.Epoch, sc.active.JointChange = true, uint64(1+i%2), 0
			}
			w.checker.checkActivePolicies(w)
		},
		"accepts advice under token": func(w *world) {
			w.checker.checkAdviceToken(w, w.sidecars[0], 5)
			w.checker.checkAdviceToken(w, w.sidecars[0], 3)
		},
		"which has received its drain mark": func(w *world) {
			sc := w.sidecars[0]
			i := sc.list["h0-0"]
			i.Health = "draining"
			sc.list["h0-0"] = i
			sc.requests["h0-0"] = 1
			w.stopServer("h0-0")
		},
		"last server of z0": func(w *world) {
			for _, host := range []string{"h0-0", "h1-0", "h2-0"} {
				w.stopServer(host)
			}
		},
		"is lost": func(w *world) { w.checker.recordAcknowledged("record-0", "x", 1<<62) },
		"differ": func(w *world) {
			r := w.raft.replicas[(w.raft.leader+1)%3]
			w.raft.catchUp(r)
			r.state.Apply(anyCommand())
		},
		"endpoint list at version": func(w *world) { clear(w.sidecars[0].list); w.checker.checkList(w, w.sidecars[0]) },
	} {
		w := newWorld(1, nil)
		w.run(3*time.Second, func() bool { return w.err != nil })
		if w.err != nil {
			t.Fatal(w.err)
		}
		violate(w)
		w.settling = true
		if w.err == nil {
			w.checker.checkFinalState(w, true)
		}
		if w.err == nil || !strings.Contains(w.err.Error(), want) {
			t.Errorf("got violation %v, want one that contains %q", w.err, want)
		}
		w.stopAll()
	}
}

// anyCommand returns a command that changes a state.
func anyCommand() registry.Command {
	return registry.Command{Op: registry.OpPutRecord, Key: "beside", Value: []byte("x")}
}
