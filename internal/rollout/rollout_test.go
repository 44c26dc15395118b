package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

func document(slots int) *Document {
	return &Document{FormatVersion: 1, Mode: ModeCarry, Tenants: []Tenant{{"a", slots, 1}, {"b", 2, 1}}}
}

// world is a state with members, told things in order.
type world struct {
	t  *testing.T
	s  *State
	at int64
}

func (w *world) do(c Command) error {
	w.at++
	c.AtMS = w.at
	return w.s.Apply(c)
}

func (w *world) must(c Command) {
	w.t.Helper()
	if err := w.do(c); err != nil {
		w.t.Fatalf("%s: %v", c.Op, err)
	}
}

func (w *world) member(i int) Member { return Member{fmt.Sprint("n", i), 1} }

func (w *world) propose(d *Document, first float64) {
	w.t.Helper()
	c := Command{Op: OpPropose, Document: d, BaseEpoch: w.s.epoch, By: "op", Reason: fmt.Sprint(w.at), WithinMS: 1000}
	if first > 0 {
		c.CanaryFraction, c.CanaryWatchMS = first, 10
	}
	w.must(c)
}

// sayAll has all members say what their views ask for.
func (w *world) sayAll(n int) {
	w.t.Helper()
	for i := range n {
		v := w.s.View(w.member(i))
		w.must(Command{Op: OpAck, Member: w.member(i), ChangeNumber: v.ChangeNumber, Stage: v.Stage})
	}
}

func (w *world) advance() {
	w.t.Helper()
	w.must(Command{Op: OpAdvance, ChangeNumber: w.s.change.Number, Stage: w.s.stage})
}

func newWorld(t *testing.T, members int) *world {
	w := &world{t: t, s: New(100)}
	for i := range members {
		w.must(Command{Op: OpJoin, Member: w.member(i)})
	}
	return w
}

func TestChange(t *testing.T) {
	w := newWorld(t, 3)
	w.propose(document(4), 0)
	if err := w.do(Command{Op: OpAdvance, ChangeNumber: w.s.change.Number, Stage: StagePreparing}); !errors.Is(err, ErrConflict) {
		t.Errorf("advanced before anybody has spoken: %v", err)
	}
	if err := w.do(Command{Op: OpPropose, Document: document(9), By: "other", WithinMS: 1}); !errors.Is(err, ErrConflict) {
		t.Errorf("two at once: %v", err)
	}
	if err := w.do(Command{Op: OpAck, Member: w.member(0), ChangeNumber: w.s.change.Number, Stage: StageJoint}); !errors.Is(err, ErrConflict) {
		t.Errorf("joint was said before it is: %v", err)
	}
	w.sayAll(3)
	w.advance()
	w.sayAll(2)
	w.must(Command{Op: OpJoin, Member: Member{"n0", 2}}) // it has started again: its promise is another's
	if who := w.s.waitingFor(); !slices.Equal(who, []string{"n0", "n2"}) {
		t.Errorf("waits for %v", who)
	}
	if err := w.do(Command{Op: OpAck, Member: w.member(0), ChangeNumber: w.s.change.Number, Stage: StageJoint}); !errors.Is(err, ErrNotFound) {
		t.Errorf("the process before it speaks: %v", err)
	}
	if err := w.do(Command{Op: OpJoin, Member: Member{"n0", 1}}); !errors.Is(err, ErrConflict) {
		t.Errorf("an older process takes the seat: %v", err)
	}
	w.must(Command{Op: OpAck, Member: Member{"n0", 2}, ChangeNumber: w.s.change.Number, Stage: StageJoint})
	w.must(Command{Op: OpEvict, Member: Member{Name: "n2"}})
	if err := w.do(Command{Op: OpJoin, Member: w.member(2)}); !errors.Is(err, ErrConflict) {
		t.Errorf("an evicted process comes back: %v", err)
	}
	number := w.s.change.Number
	w.advance()
	if w.s.epoch != number || w.s.stage != StageCommitted {
		t.Fatalf("epoch %d, %s", w.s.epoch, w.s.stage)
	}
	if err := w.do(Command{Op: OpAbort, ChangeNumber: number, By: "op"}); !errors.Is(err, ErrConflict) {
		t.Errorf("aborted in force: %v", err)
	}
	w.must(Command{Op: OpAck, Member: Member{"n0", 2}, ChangeNumber: number, Stage: StageCommitted})
	w.must(Command{Op: OpLeave, Member: w.member(1)}) // the last that was waited for says goodbye
	if w.s.stage != StageSettled {
		t.Errorf("it is %s", w.s.stage)
	}
	// One no ends the next one everywhere, also by one that has joined late.
	w.propose(document(5), 0)
	w.must(Command{Op: OpAck, Member: Member{"n0", 2}, ChangeNumber: w.s.change.Number, Stage: StagePreparing})
	w.advance()
	w.must(Command{Op: OpJoin, Member: Member{"n2", 9}})
	w.must(Command{Op: OpAck, Member: Member{"n2", 9}, ChangeNumber: w.s.change.Number, Stage: StageJoint, Refusal: "tenants[0].slots is too much"})
	if last := w.s.history[len(w.s.history)-1]; w.s.stage != StageSettled || w.s.epoch != number || !strings.Contains(last.Outcome, "n2") {
		t.Errorf("%s, epoch %d, %q", w.s.stage, w.s.epoch, last.Outcome)
	}
	for range 2 * maxHistory {
		w.propose(document(5), 0)
		w.must(Command{Op: OpAbort, ChangeNumber: w.s.change.Number, By: "op"})
	}
	if len(w.s.history) != maxHistory {
		t.Errorf("%d are kept", len(w.s.history))
	}
	text, err := json.Marshal(w.s)
	if err != nil {
		t.Fatal(err)
	}
	again := New(0)
	if err := json.Unmarshal(text, again); err != nil {
		t.Fatal(err)
	}
	if twice, _ := json.Marshal(again); !bytes.Equal(text, twice) {
		t.Errorf("a snapshot of a snapshot is\n%s, it was\n%s", twice, text)
	}
	for _, broken := range []string{`{"stage":"joint"}`, `{"epoch":5,"last":4,"stage":"settled","document":{}}`, `{"stage":"x","change":{}}`} {
		if err := json.Unmarshal([]byte(broken), New(0)); err == nil {
			t.Errorf("%s is taken", broken)
		}
	}
}

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

// A sidecar that finds at joint that it cannot after all says so once it is asked, and
// says nothing of it when the change is in force.
func TestFollowerRefuses(t *testing.T) {
	f := &Follower{Self: Member{"n0", 1}, Supports: (*Document).Check}
	v := View{Version: 5, Stage: StageJoint, ChangeNumber: 9, NextDocument: document(4), InRoster: true}
	f.HandleView(v)
	c, any := f.NextCommand()
	if !any || c.Op != OpAck || c.Stage != StageJoint || c.Refusal != "" {
		t.Fatalf("it says %+v", c)
	}
	f.HandleResult(c, nil)
	f.Refuse(errors.New("no room"))
	if c, any = f.NextCommand(); !any || c.Refusal != "no room" {
		t.Errorf("it says %+v", c)
	}
	if _, _, why := f.Summary(); why != "no room" {
		t.Errorf("it stands at %q", why)
	}
	f.HandleView(View{Version: 4, Stage: StageSettled, InRoster: true}) // late news
	if acts, may := f.Active(); !may || acts.JointChange != 9 {
		t.Errorf("it acts by %+v", acts)
	}
	f.HandleView(View{Version: 6, Stage: StageCommitted, ChangeNumber: 9, Epoch: 9, Document: document(4), InRoster: true})
	c, any = f.NextCommand()
	if !any || c.Refusal != "" || c.Stage != StageCommitted {
		t.Errorf("it says %+v", c)
	}
	f.HandleResult(c, nil)
	if c, any = f.NextCommand(); any {
		t.Errorf("it goes on saying %+v", c)
	}
	f.HandleView(View{Version: 7, Stage: StageSettled, Epoch: 9, Document: document(4)})
	if _, may := f.Active(); may {
		t.Error("it acts without a seat")
	}
	if c, _ = f.NextCommand(); c.Op != OpJoin {
		t.Errorf("without a seat it says %+v", c)
	}
}

func TestDocument(t *testing.T) {
	for _, x := range []struct {
		says   string
		change func(d *Document)
	}{
		{"form is 2", func(d *Document) { d.FormatVersion = 2 }},
		{"mode is", func(d *Document) { d.Mode = "x" }},
		{"tenants[1].name \"a\" is there twice", func(d *Document) { d.Tenants[1].Name = "a" }},
		{"tenants[0].slots is -1", func(d *Document) { d.Tenants[0].Slots = -1 }},
		{"tenants[1].places is 0", func(d *Document) { d.Tenants[1].QueuePlaces = 0 }},
		{"none has slots", func(d *Document) { d.Tenants[0].Slots, d.Tenants[1].Slots = 0, 0 }},
		{"most_tries is 99", func(d *Document) { d.MaxAttempts = 99 }},
	} {
		d := document(4)
		if x.change(d); d.Check() == nil || !strings.Contains(d.Check().Error(), x.says) {
			t.Errorf("%v; want %q", d.Check(), x.says)
		}
	}
	var later Document
	if err := json.Unmarshal([]byte(`{"form":1,"mode":"carry","tenants":[{"name":"a","slots":1,"places":1}],"speed":3}`), &later); err != nil {
		t.Fatal(err)
	}
	if err := later.Check(); err == nil || !strings.Contains(err.Error(), "speed") {
		t.Errorf("a field of a later build: %v", err)
	}
	a, b := document(4), document(6)
	a.MaxAttempts, b.NoProbes, b.MaxClientConnections = 3, true, 50
	b.Tenants = []Tenant{{"a", 3, 9}, {"c", 7, 1}}
	j := Stricter(a, b)
	want := []Tenant{{"a", 3, 1}, {"b", 0, 0}, {"c", 0, 0}}
	if !slices.Equal(j.Tenants, want) || j.MaxAttempts != 3 || !j.NoProbes || j.MaxClientConnections != 50 || j.Mode != ModeCarry {
		t.Errorf("the stricter of both is %+v", j)
	}
	if lines := Diff(a, b); len(lines) != 6 {
		t.Errorf("%d lines: %q", len(lines), lines)
	}
	if Diff(a, a) != nil || a.Checksum() == b.Checksum() {
		t.Error("two that are alike differ, or two that differ are alike")
	}
}

func TestGone(t *testing.T) {
	cmd := exec.Command("sleep", "1000")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	seat := RosterMember{Process: Process{"m", cmd.Process.Pid, ProcessStartTicks(cmd.Process.Pid)}}
	if seat.ProcessGone("m") || seat.Process.StartTicks == 0 {
		t.Errorf("a process that lives has gone: %+v", seat.Process)
	}
	cmd.Process.Kill()
	cmd.Wait()
	if !seat.ProcessGone("m") || seat.ProcessGone("other") {
		t.Errorf("gone here: %v, on another machine: %v", seat.ProcessGone("m"), seat.ProcessGone("other"))
	}
	other := RosterMember{Process: Process{"m", os.Getpid(), 1}} // its id is another process's by now
	if !other.ProcessGone("m") || (RosterMember{}).ProcessGone("") {
		t.Error("a process whose id another has lives on, or one that is nowhere has gone")
	}
}
