// Package drain takes a machine out of service and loses nothing: it claims the
// machine, checks that what remains bears the load, marks its servers as draining,
// waits until the sidecars know it and the servers' work has ended, stops the
// machine's processes, and reports.
//
// The workflow is a state machine whose state stands in the registry, in one record
// for all machines, and moves only under compare-and-set. Whoever runs it holds a
// claim that has to be renewed; if that one is lost at any step, another resumes
// where it was or undoes it. As all drains are in one record, two at once cannot
// both count on the same servers to remain.
package drain

import (
	"errors"
	"fmt"
)

// Step is how far a drain has come.
type Step string

// The steps, in their order.
const (
	Claimed  Step = "claimed"  // the floor holds without the machine, and it is ours; nothing has changed
	Marked   Step = "marked"   // its servers are marked draining
	Drained  Step = "drained"  // the sidecars know it, and the servers' work has ended
	Stopping Step = "stopping" // its processes are being stopped: from here on there is no way back but undrain
	Stopped  Step = "stopped"  // its servers are; its other processes that are members of the fleet are waited for
	Done     Step = "done"
	Undoing  Step = "undoing" // the marks are being taken back
)

// Drain is the state of one machine's drain.
type Drain struct {
	Machine string   `json:"machine"`
	Step    Step     `json:"step"`
	Hosts   []string `json:"hosts"`
	// Owner holds the claim until Expires, in Unix milliseconds.
	Owner     string `json:"owner"`
	ExpiresMS int64  `json:"expires_ms"`
	BeganMS   int64  `json:"began_ms"`
	// Seq is the list's version that has the marks, and MarkedAt when it came.
	Seq      uint64 `json:"seq,omitempty"`
	MarkedMS int64  `json:"marked_ms,omitempty"`
	// DeadlineMS is when a drain that keepers run is undone if it has not come to stopping;
	// Note is what hinders it.
	DeadlineMS int64  `json:"until_ms,omitempty"`
	Note       string `json:"note,omitempty"`
}

// OwnerControllers owns the drains that were handed over: whichever keeper holds the task of
// running them, its lease and not the claim's time says that it may.
const OwnerControllers = "keepers"

// RecordKey is where the registry keeps all drains.
const RecordKey = "drains"

// markOwner is who marks a machine's servers: the drain and not its operator, so that
// whoever resumes or undoes it may.
func markOwner(machine string) string { return "drain:" + machine }

// Why a drain is refused. The error's text says what and what to do; nothing was changed.
var (
	ErrRefused = errors.New("refused")
	// ErrClaimLost says that the claim has passed to another.
	ErrClaimLost = errors.New("the claim is lost")
	// ErrTimeout says that the time given was up.
	ErrTimeout = errors.New("out of time")
)

func refusal(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrRefused, fmt.Sprintf(format, args...))
}
