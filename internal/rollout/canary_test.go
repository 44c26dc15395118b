package rollout

import (
	"slices"
	"testing"
)

func TestCanary(t *testing.T) {
	for _, x := range []struct {
		name    string
		refused uint64
		ends    Stage
	}{{"as good", 20, StageJoint}, {"worse", 200, StageSettled}} {
		t.Run(x.name, func(t *testing.T) {
			w := newWorld(t, 10)
			w.propose(document(4), 0.25)
			w.sayAll(10)
			w.advance()
			ahead := w.s.change.Canaries
			if len(ahead) != 3 || w.s.stage != StageCanary {
				t.Fatalf("%v go ahead, %s", ahead, w.s.stage)
			}
			for i := range 10 {
				m := w.member(i)
				want := StagePreparing
				if slices.Contains(ahead, m.Name) {
					want = StageJoint
				}
				if v := w.s.View(m); v.Stage != want || !v.ReportCounts {
					t.Errorf("%s sees %s", m.Name, v.Stage)
				}
			}
			w.sayAll(10)
			number := w.s.change.Number
			report := func(i int, c RequestCounts) {
				w.must(Command{Op: OpReport, Member: w.member(i), ChangeNumber: number, Counts: c})
			}
			for i := range 10 {
				report(i, RequestCounts{Requests: 5000, Refused: 4000}) // before it began
			}
			if _, any := Decide(w.s.Status(), w.at+20); any {
				t.Error("decided on nothing")
			}
			for i := range 10 {
				c := RequestCounts{Requests: 6000, Refused: 4020}
				if slices.Contains(ahead, w.member(i).Name) {
					c.Refused = 4000 + x.refused
				}
				report(i, c)
			}
			if _, any := Decide(w.s.Status(), w.s.change.CanarySinceMS+5); any {
				t.Error("decided before the time is over")
			}
			c, any := Decide(w.s.Status(), w.s.change.CanarySinceMS+10)
			if !any {
				t.Fatal("not decided")
			}
			w.must(c)
			if w.s.stage != x.ends {
				t.Errorf("it is %s", w.s.stage)
			}
		})
	}
}
