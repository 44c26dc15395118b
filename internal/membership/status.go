package membership

import "time"

// Status is the state of a member in a view.
type Status string

// The statuses. Their values are served to operators and are metric labels.
const (
	StatusPresent     Status = "present"
	StatusSuspected   Status = "suspected" // it has not answered a probe, but is not unreachable yet
	StatusUnreachable Status = "lost"      // it doesn't answer: it has ended, is suspended, or is partitioned
	StatusLeft        Status = "left"      // it announced that it leaves
	StatusEnded       Status = "gone"      // its process was observed to end, on its own machine
	StatusReplaced    Status = "replaced"  // a later process has its name

	// StatusUnknown is the status of a member that a view does not hold.
	StatusUnknown Status = "unknown"
)

// CountsAsPresent reports whether a member with this status counts as running.
func (s Status) CountsAsPresent() bool { return s == StatusPresent || s == StatusSuspected }

// final reports whether the status is permanent: that process does not return.
func (s Status) final() bool {
	return s == StatusLeft || s == StatusEnded || s == StatusReplaced
}

// Member is one member in a view.
type Member struct {
	Info
	Status      Status
	StatusSince time.Duration // on the view's clock
	// Evidence is the reason for a final status: the key of the member that observed the process's
	// end, or of the process that replaces it.
	Evidence string

	suspectedUntil time.Duration // with StatusSuspected: when the suspicion expires
}

func (m *Member) setStatus(status Status, now time.Duration) {
	m.Status, m.StatusSince = status, now
}
