package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
)

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
