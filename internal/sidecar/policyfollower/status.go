package policyfollower

import (
	"fmt"
	"time"

	"barleywick/internal/rollout"
)

// Status is how a sidecar stands towards the fleet policy.
type Status struct {
	Epoch         uint64 // of the policy in force; 0: its own configuration counts
	JointChange   uint64 // the rollout that it acts by jointly; 0: none
	Stage         rollout.Stage
	Since         time.Time // when it was put into force
	Admitting     bool      // new requests are admitted
	FromStore     bool      // it serves by its store
	RefusalReason string    // why it refused the rollout under way; empty: it did not
}

// Status returns how the sidecar stands now.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, stage, refusal := f.state.Summary()
	return Status{
		Epoch: f.active.Epoch, JointChange: f.active.JointChange, Stage: stage, Since: f.activeSince,
		Admitting: f.Admitting(), FromStore: f.fromStore, RefusalReason: refusal,
	}
}

// String is the text of /health/policy, which programs read: its words stay.
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
