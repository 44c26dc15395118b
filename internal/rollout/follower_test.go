package rollout

import (
	"errors"
	"testing"
)

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
