package membership

import "time"

// Status is how a member stands in somebody's view.
type Status string

// The statuses.
const (
	StatusPresent     Status = "present"
	StatusSuspected   Status = "suspected" // it has not answered lately; it may yet
	StatusUnreachable Status = "lost"      // silence: it ended, or is stopped, or cut off
	StatusLeft        Status = "left"      // it said goodbye
	StatusEnded       Status = "gone"      // its process was seen to have ended, on its own machine
	StatusReplaced    Status = "replaced"  // a later process has its name
)

// CountsAsPresent says whether a member with this status counts as there.
func (s Status) CountsAsPresent() bool { return s == StatusPresent || s == StatusSuspected }

// final says whether the status is for good: that process does not come back.
func (s Status) final() bool { return s == StatusLeft || s == StatusEnded || s == StatusReplaced }

// Member is one member in a view.
type Member struct {
	Info
	Status         Status
	StatusSince    time.Duration // on the view's clock
	By             string        // of Gone: who saw it; of Replaced: by which key
	suspectedUntil time.Duration // of Suspected: when that passes
}
