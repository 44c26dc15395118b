package rollout

import (
	"errors"
	"fmt"

	"barleywick/internal/mutation"
)

// Follower is one sidecar's part: a state machine without I/O and without a clock. It
// says what to act by, and what to say to the registry. It is not safe for concurrent
// use.
type Follower struct {
	Self     Member
	Process  Process                 // where its process is; may be nowhere
	Supports func(d *Document) error // whether this sidecar could act by a document

	view            View
	inRoster        bool // a view of a seat of its own
	ackedStage      Stage
	ackedChange     uint64 // the change that it said it of
	supportedChange uint64 // the change that it said it can act by
	refusedChange   uint64
	refusal         string
	fatal           error
}

// Fatal says why this process cannot act by the policy in force, if it cannot: one that
// starts is to give its seat up again and to end. One that acts has said that it can.
func (f *Follower) Fatal() error { return f.fatal }

// HandleView takes news of the registry in. News that are older than those it has change
// nothing: they come late.
func (f *Follower) HandleView(v View) {
	if f.inRoster && v.Version < f.view.Version {
		return
	}
	if f.view.ChangeNumber != v.ChangeNumber {
		f.ackedStage, f.ackedChange = "", 0
	}
	f.view, f.inRoster = v, v.InRoster
	f.fatal = nil
	if v.InRoster && v.Document != nil && f.supportedChange != v.Epoch {
		if f.fatal = f.Supports(v.Document); f.fatal == nil && v.ChangeNumber != f.supportedChange {
			f.supportedChange = v.Epoch
		}
	}
	if !v.InRoster {
		f.ackedStage, f.ackedChange = "", 0
	}
}

// Active says whether it may act at all, and by what. Without a seat it does not: a
// change may pass that does not wait for it.
func (f *Follower) Active() (ActivePolicy, bool) {
	if !f.inRoster {
		return ActivePolicy{}, mutation.LateRoster
	}
	if f.fatal != nil {
		return ActivePolicy{}, false
	}
	a := ActivePolicy{Epoch: f.view.Epoch, Document: f.view.Document}
	if f.view.Stage == StageJoint {
		a.JointChange, a.NextDocument = f.view.ChangeNumber, f.view.NextDocument
	}
	return a, true
}

// Version is that of the news it has; 0: it has none.
func (f *Follower) Version() uint64 { return f.view.Version }

// LostMembership takes that the registry refuses this process: it was evicted, or a later one has
// its name. It acts no more.
func (f *Follower) LostMembership() { f.inRoster, f.ackedStage, f.ackedChange = false, "", 0 }

// NextCommand is what to say to the registry now, if anything. What it says of a stage it has
// to act by already: whoever calls puts Acting in force before.
func (f *Follower) NextCommand() (Command, bool) {
	v := f.view
	switch {
	case !f.inRoster:
		return Command{Op: OpJoin, Member: f.Self, Process: f.Process}, true
	case v.Stage == StageSettled || f.ackedChange == v.ChangeNumber && stageOrder(f.ackedStage) >= stageOrder(v.Stage) && !f.refusesPending():
		return Command{}, false
	}
	c := Command{Op: OpAck, Member: f.Self, ChangeNumber: v.ChangeNumber, Stage: v.Stage}
	if v.NextDocument != nil && f.supportedChange != v.ChangeNumber && f.refusedChange != v.ChangeNumber {
		if err := f.Supports(v.NextDocument); err != nil {
			f.Refuse(err)
		} else {
			f.supportedChange = v.ChangeNumber
		}
	}
	if f.refusesPending() {
		c.Refusal = f.refusal
	}
	return c, true
}

// refusesPending says whether it refusesPending the change under way, while that can be ended still.
func (f *Follower) refusesPending() bool {
	return f.view.NextDocument != nil && f.refusedChange == f.view.ChangeNumber
}

// Refuse takes that this sidecar cannot act by the change under way, whatever it has
// said of it. Before the change is in force that ends it everywhere.
func (f *Follower) Refuse(err error) {
	if f.view.NextDocument != nil {
		f.refusedChange, f.refusal = f.view.ChangeNumber, err.Error()
	}
}

// ReportsWanted is the change for which counts are to be reported from time to time, if any.
func (f *Follower) ReportsWanted() (number uint64, wanted bool) {
	return f.view.ChangeNumber, f.inRoster && f.view.ReportCounts
}

// HandleResult takes what became of what was said.
func (f *Follower) HandleResult(c Command, err error) {
	switch {
	case c.Op == OpAck && err == nil && c.Refusal == "":
		f.ackedStage, f.ackedChange = c.Stage, c.ChangeNumber
	case c.Op == OpAck && errors.Is(err, ErrNotFound): // it has no seat any more
		f.LostMembership()
	}
}

// Summary is a line for people: what it refused, if anything.
func (f *Follower) Summary() (epoch uint64, stage Stage, refused string) {
	if f.refusedChange != 0 && f.refusedChange == f.view.ChangeNumber {
		refused = f.refusal
	}
	return f.view.Epoch, f.view.Stage, refused
}

// Key appends what tells the follower's state from others.
func (f *Follower) Key(text []byte) []byte {
	return fmt.Append(text, f.inRoster, f.ackedStage, f.ackedChange, f.supportedChange, f.view.Epoch, f.view.Stage, f.view.ChangeNumber, f.view.Version)
}
