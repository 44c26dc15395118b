package rollout

import (
	"errors"
	"fmt"

	"barleywick/internal/mutation"
)

// Follower is the sidecar's side of rollouts. From the views that the registry sends, it
// decides which policy the sidecar applies and which commands it sends. It is a state machine
// without I/O and without a clock, and is not safe for concurrent use.
type Follower struct {
	Self     Member
	Process  Process                 // sent with OpJoin; may be empty
	Supports func(d *Document) error // returns why the sidecar does not support a document, or nil

	view            View
	inRoster        bool // by the last view, unless the registry has rejected the sidecar since
	ackedStage      Stage
	ackedChange     uint64 // the change of ackedStage
	supportedChange uint64 // the last change or epoch that the sidecar supports
	refusedChange   uint64
	refusal         string // why the sidecar refused refusedChange
	fatal           error
}

// Fatal returns why this sidecar does not support the policy in force, or nil. After an error the
// sidecar must leave the roster and exit. This can only happen to a sidecar that is starting:
// one that already applies a policy has acknowledged that it supports it.
func (f *Follower) Fatal() error { return f.fatal }

// HandleView handles a view from the registry. A view that is older than the current one
// is ignored.
func (f *Follower) HandleView(v View) {
	if f.inRoster && v.Version < f.view.Version {
		return
	}
	if f.view.ChangeNumber != v.ChangeNumber || !v.InRoster {
		f.ackedStage, f.ackedChange = "", 0
	}
	f.view, f.inRoster = v, v.InRoster
	f.checkInForce()
}

// checkInForce checks whether the sidecar supports the policy in force.
func (f *Follower) checkInForce() {
	f.fatal = nil
	v := f.view
	if !v.InRoster || v.Document == nil || f.supportedChange == v.Epoch {
		return
	}
	f.fatal = f.Supports(v.Document)
	if f.fatal == nil && v.ChangeNumber != f.supportedChange {
		f.supportedChange = v.Epoch
	}
}

// Active returns the policy to apply, and whether the sidecar may accept requests. Outside the
// roster it may not, because changes do not wait for it.
func (f *Follower) Active() (ActivePolicy, bool) {
	if !f.inRoster {
		return ActivePolicy{}, mutation.ServeBeforeJoin
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

// Version returns the version of the current view; 0: there is none.
func (f *Follower) Version() uint64 { return f.view.Version }

// LostMembership records that the registry has rejected this process, because it was evicted
// or a later process has its name. The sidecar may no longer accept requests.
func (f *Follower) LostMembership() { f.inRoster, f.ackedStage, f.ackedChange = false, "", 0 }

// NextCommand returns the command to send to the registry now, if any. An acknowledged
// stage has to be in force already: the caller must apply Active before it sends the command.
func (f *Follower) NextCommand() (Command, bool) {
	switch {
	case !f.inRoster:
		return Command{Op: OpJoin, Member: f.Self, Process: f.Process}, true
	case f.view.Stage == StageSettled || f.acked() && !f.refuses():
		return Command{}, false
	}
	f.checkNext()
	c := Command{Op: OpAck, Member: f.Self, ChangeNumber: f.view.ChangeNumber, Stage: f.view.Stage}
	if f.refuses() {
		c.Refusal = f.refusal
	}
	return c, true
}

// acked reports whether the current stage has been acknowledged.
func (f *Follower) acked() bool {
	return f.ackedChange == f.view.ChangeNumber && f.ackedStage.reached(f.view.Stage)
}

// refuses reports whether the sidecar refuses the change while it can still be aborted.
func (f *Follower) refuses() bool {
	return f.view.NextDocument != nil && f.refusedChange == f.view.ChangeNumber
}

// checkNext checks once whether the sidecar supports the change.
func (f *Follower) checkNext() {
	number, next := f.view.ChangeNumber, f.view.NextDocument
	if next == nil || f.supportedChange == number || f.refusedChange == number {
		return
	}
	if err := f.Supports(next); err != nil {
		f.Refuse(err)
		return
	}
	f.supportedChange = number
}

// Refuse refuses the change, even if the sidecar has acknowledged stages of it. This aborts
// a change that is not committed.
func (f *Follower) Refuse(err error) {
	if f.view.NextDocument != nil {
		f.refusedChange, f.refusal = f.view.ChangeNumber, err.Error()
	}
}

// ReportsRequested returns the change for which the sidecar has to report its counts
// periodically, if any.
func (f *Follower) ReportsRequested() (changeNumber uint64, requested bool) {
	return f.view.ChangeNumber, f.inRoster && f.view.ReportCounts
}

// HandleResult handles the result of a command that NextCommand returned.
func (f *Follower) HandleResult(c Command, err error) {
	switch {
	case c.Op != OpAck:
	case err == nil && c.Refusal == "":
		f.ackedStage, f.ackedChange = c.Stage, c.ChangeNumber
	case errors.Is(err, ErrNotFound):
		f.LostMembership()
	}
}

// Summary returns epoch and stage, and why the sidecar refused the change, if it did.
func (f *Follower) Summary() (epoch uint64, stage Stage, refused string) {
	if f.refusedChange != 0 && f.refusedChange == f.view.ChangeNumber {
		refused = f.refusal
	}
	return f.view.Epoch, f.view.Stage, refused
}

// Key appends a text that identifies the follower's state, for the model checker.
func (f *Follower) Key(text []byte) []byte {
	return fmt.Append(text, f.inRoster, f.ackedStage, f.ackedChange, f.supportedChange, f.view.Epoch, f.view.Stage, f.view.ChangeNumber, f.view.Version)
}
