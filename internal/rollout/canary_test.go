package rollout

import (
	"slices"
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
