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
			if c, ok := Decide(h.state.Status(), h.nowMS+20); ok {
				t.Errorf("without requests: got %+v, want no decision", c)
			}
			for i := range members {
				counts := RequestCounts{Requests: 6000, Refused: 4020}
				if isCanary(h.member(i)) {
					counts.Refused = 4000 + x.refused
				}
				report(h.member(i), counts)
			}
			if c, ok := Decide(h.state.Status(), change.CanarySinceMS+5); ok {
				t.Errorf("before the time is over: got %+v, want no decision", c)
			}
			c, ok := Decide(h.state.Status(), change.CanarySinceMS+10)
			if !ok {
				t.Fatal("after the time: got no decision")
			}
			h.mustApply(c)
			if h.state.stage != x.want {
				t.Errorf("got %s, want %s", h.state.stage, x.want)
			}
		})
	}
}

// Guards against an abort with a wrong reason. The leader compares canaries only before the change's
// deadline. If no controller runs until after the deadline, the abort used to state that the canaries
// had too few requests, also when they had enough, so operators proposed the change again with a
// longer time.
func TestAbortAtDeadlineGivesReason(t *testing.T) {
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
		c, ok := Decide(h.state.Status(), change.DeadlineMS)
		if !ok || c.Op != OpAbort || c.By != x.by || !strings.Contains(c.Reason, x.reason) {
			t.Errorf("%s: got %s by %q with reason %q, want an abort by %q with reason %q", name, c.Op, c.By, c.Reason, x.by, x.reason)
		}
	}
}

// The number of evictions that are kept is limited. Without removal of the oldest, every eviction
// after the first 1,024 sidecars would be refused as full, and a rollout would wait forever for a
// sidecar whose machine no longer exists.
func TestEvictionsBeyondMaximum(t *testing.T) {
	h := newHarness(t, 0)
	for i := range maxEvicted + 10 {
		h.mustApply(Command{Op: OpJoin, Member: h.member(i)})
		if err := h.apply(Command{Op: OpEvict, Member: h.member(i)}); err != nil {
			t.Fatalf("eviction %d: %v", i+1, err)
		}
	}
}
