package policyfollower

import (
	"fmt"
	"time"

	"barleywick/internal/rollout"
)

// Status is the state of a sidecar with respect to the fleet policy.
type Status struct {
	Epoch         uint64 // of the policy in force; 0: only the sidecar's own configuration applies
	JointChange   uint64 // number of the rollout in its joint stage, both of whose policies apply; 0: none
	Stage         rollout.Stage
	Since         time.Time // when the policy came into force
	Admitting     bool      // whether new requests are admitted
	FromStore     bool      // whether the policy was loaded from the store
	RefusalReason string    // why it refused the rollout in progress; empty: not refused
}

// Status returns the current status.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, stage, refusal := f.state.Summary()
	return Status{
		Epoch: f.active.Epoch, JointChange: f.active.JointChange, Stage: stage, Since: f.activeSince,
		Admitting: f.Admitting(), FromStore: f.fromStore, RefusalReason: refusal,
	}
}

// String returns the text of /health/policy. Programs parse it, so the wording must not change.
func (s Status) String() string {
	text := fmt.Sprintf("epoch %d, %s", s.Epoch, s.Stage)
	if s.JointChange != 0 {
		text += fmt.Sprintf(", joint with %d", s.JointChange)
	}
	if !s.Since.IsZero() {
		text += ", since " + s.Since.UTC().Format(time.RFC3339)
	}
	if s.FromStore {
		text += ", by the folder: nobody can be asked"
	}
	if !s.Admitting {
		text += ", refusing new requests"
	}
	if s.RefusalReason != "" {
		text += ", refused the change: " + s.RefusalReason
	}
	return text
}
