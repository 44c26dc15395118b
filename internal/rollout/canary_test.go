package rollout

import (
	"slices"
	"strings"
	"testing"
)

func TestCanary(t *testing.T) {
	for _, x := range []struct {
		name    string
		refused uint64 // by each canary
		want    Stage
	}{{"as good", 20, StageJoint}, {"worse", 200, StageSettled}} {
		t.Run(x.name, func(t *testing.T) {
			const members = 10
			h := newHarness(t, members)
			h.propose(document(4), 0.25)
			h.ackAll(members)
			h.advance()
			change := h.state.change
			if len(change.Canaries) != 3 || h.state.stage != StageCanary {
				t.Fatalf("got canaries %v, %s, want 3, %s", change.Canaries, h.state.stage, StageCanary)
			}
			isCanary := func(m Member) bool { return slices.Contains(change.Canaries, m.Name) }
			for i := range members {
				m := h.member(i)
				want := StagePreparing
				if isCanary(m) {
					want = StageJoint
				}
				if v := h.state.View(m); v.Stage != want || !v.ReportCounts {
					t.Errorf("view of %s: got %s, reports %v, want %s, reports true", m.Name, v.Stage, v.ReportCounts, want)
				}
			}
			h.ackAll(members)
			report := func(m Member, c RequestCounts) {
				h.mustApply(Command{Op: OpReport, Member: m, ChangeNumber: change.Number, Counts: c})
			}
			for i := range members {
				report(h.member(i), RequestCounts{Requests: 5000, Refused: 4000}) // before the change
			}
			if c, any := Decide(h.state.Status(), h.nowMS+20); any {
				t.Errorf("without requests: got %+v, want no decision", c)
			}
			for i := range members {
				counts := RequestCounts{Requests: 6000, Refused: 4020}
				if isCanary(h.member(i)) {
					counts.Refused = 4000 + x.refused
				}
				report(h.member(i), counts)
			}
			if c, any := Decide(h.state.Status(), change.CanarySinceMS+5); any {
				t.Errorf("before the time is over: got %+v, want no decision", c)
			}
			c, any := Decide(h.state.Status(), change.CanarySinceMS+10)
			if !any {
				t.Fatal("after the time: got no decision")
			}
			h.mustApply(c)
			if h.state.stage != x.want {
				t.Errorf("got %s, want %s", h.state.stage, x.want)
			}
		})
	}
}

// What happens: an operator reads that a change was aborted as its canaries had too few requests,
// and tries again with a longer time, although they had enough. Why: the leader compares them
// only before the change's deadline; where no controller ran until after it, the abort gave
// the one reason that it knew.
func TestAbortOfCanariesAtTheDeadlineSaysWhy(t *testing.T) {
	for name, x := range map[string]struct {
		requests, refused uint64 // of each canary
		by, reason        string
	}{
		"too few":         {10, 0, byDeadline, "too few requests"},
		"enough, as good": {1000, 20, byDeadline, "were not compared in time"},
		"enough, worse":   {1000, 500, byCanaries, "ended badly"},
	} {
		const members = 4
		h := newHarness(t, members)
		h.propose(document(4), 0.5)
		h.ackAll(members)
		h.advance()
		h.ackAll(members)
		change := h.state.change
		for _, counts := range []RequestCounts{{}, {Requests: x.requests, Refused: x.refused}} {
			for i := range members {
				reported := counts
				if !slices.Contains(change.Canaries, h.member(i).Name) {
					reported.Refused = min(counts.Refused, 20)
				}
				h.mustApply(Command{Op: OpReport, Member: h.member(i), ChangeNumber: change.Number, Counts: reported})
			}
		}
		c, any := Decide(h.state.Status(), change.DeadlineMS)
		if !any || c.Op != OpAbort || c.By != x.by || !strings.Contains(c.Reason, x.reason) {
			t.Errorf("%s: got %s by %q: %q, want it aborted by %q as %q", name, c.Op, c.By, c.Reason, x.by, x.reason)
		}
	}
}

// What happens: after 1,024 different sidecars were evicted, every further eviction is refused as
// full, and a rollout waits for ever for a sidecar whose machine is gone. Why: no evicted name
// is ever forgotten, also where nothing of it is left.
func TestEvictionsDoNotFillUp(t *testing.T) {
	h := newHarness(t, 0)
	for i := range maxEvicted + 10 {
		h.mustApply(Command{Op: OpJoin, Member: h.member(i)})
		if err := h.apply(Command{Op: OpEvict, Member: h.member(i)}); err != nil {
			t.Fatalf("eviction %d: %v", i+1, err)
		}
	}
}
