package rollout

import (
	"errors"
	"testing"
)

// A sidecar that finds at StageJoint that it does not support the change refuses it with its next
// command, and acknowledges the change once it is in force.
func TestFollowerRefuses(t *testing.T) {
	f := &Follower{Self: Member{"n0", 1}, Supports: (*Document).Check}
	wantAck := func(stage Stage, refusal string) Command {
		t.Helper()
		c, ok := f.NextCommand()
		if !ok || c.Op != OpAck || c.Stage != stage || c.Refusal != refusal {
			t.Errorf("got %+v, %v, want an acknowledgement of %s with refusal %q", c, ok, stage, refusal)
		}
		return c
	}
	f.HandleView(View{Version: 5, Stage: StageJoint, ChangeNumber: 9, NextDocument: document(4), InRoster: true})
	c := wantAck(StageJoint, "")
	f.HandleResult(c, nil)
	f.Refuse(errors.New("no room"))
	wantAck(StageJoint, "no room")
	if _, _, refused := f.Summary(); refused != "no room" {
		t.Errorf("got refusal %q, want %q", refused, "no room")
	}

	f.HandleView(View{Version: 4, Stage: StageSettled, InRoster: true}) // an older view that arrives late
	if active, acting := f.Active(); !acting || active.JointChange != 9 {
		t.Errorf("after an older view: got %+v, %v, want joint change 9", active, acting)
	}

	f.HandleView(View{Version: 6, Stage: StageCommitted, ChangeNumber: 9, Epoch: 9, Document: document(4), InRoster: true})
	c = wantAck(StageCommitted, "")
	f.HandleResult(c, nil)
	if c, ok := f.NextCommand(); ok {
		t.Errorf("after the last acknowledgement: got %+v, want no command", c)
	}

	f.HandleView(View{Version: 7, Stage: StageSettled, Epoch: 9, Document: document(4)})
	if active, acting := f.Active(); acting {
		t.Errorf("outside the roster: got active policy %+v, want none", active)
	}
	if c, _ := f.NextCommand(); c.Op != OpJoin {
		t.Errorf("outside the roster: got %+v, want %s", c, OpJoin)
	}
}
