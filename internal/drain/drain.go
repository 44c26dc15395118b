// Package drain takes a machine out of service without losing a request: it claims the
// machine, checks that the remaining servers suffice, marks the machine's servers as draining,
// waits until the sidecars are notified and the servers have no work, and stops the machine's
// processes.
//
// The workflow is a state machine. Its state is kept in the registry, in one record for all
// machines, and changes only by compare-and-set. Whoever runs a drain holds a claim that has to
// be renewed; if it expires at any step, another process resumes the drain there or undoes it.
// Because all drains are in one record, two concurrent drains cannot both rely on the same
// servers to remain.
package drain

import (
	"errors"
	"fmt"
)

// Step is how far a drain has come. Its text is stored in the record.
type Step string

// The steps, in their order.
const (
	Claimed  Step = "claimed"  // the drain is claimed and the floor holds; nothing has changed yet
	Marked   Step = "marked"   // the machine's servers are marked as draining
	Drained  Step = "drained"  // the sidecars are notified, and the servers have no work
	Stopping Step = "stopping" // the servers are being stopped; from here on only Undrain leads back
	Stopped  Step = "stopped"  // the servers are stopped; the machine's other members are waited for
	Done     Step = "done"
	Undoing  Step = "undoing" // the marks are being removed
)

// canTimeOut reports whether a drain is undone if its time is up at this step.
func (s Step) canTimeOut() bool { return s != Stopping && s != Stopped }

// Drain is the state of one machine's drain.
type Drain struct {
	Machine string   `json:"machine"`
	Step    Step     `json:"step"`
	Hosts   []string `json:"hosts"` // the machine's servers
	// Owner holds the claim until ExpiresMS, in Unix milliseconds.
	Owner     string `json:"owner"`
	ExpiresMS int64  `json:"expires_ms"`
	BeganMS   int64  `json:"began_ms"`
	// Seq is the version of the endpoint list that has the marks; MarkedMS is its time.
	Seq      uint64 `json:"seq,omitempty"`
	MarkedMS int64  `json:"marked_ms,omitempty"`
	// DeadlineMS is when controllers undo a drain that has not come to Stopping by then; 0: never.
	DeadlineMS int64 `json:"until_ms,omitempty"`
	// Note says what the drain waits for, or why it failed last. It is for display.
	Note string `json:"note,omitempty"`
}

// OwnerControllers is the owner of drains that were handed over to the controllers. Which of
// them may run a drain is decided by the lease of that task and not by the claim's time.
const OwnerControllers = "keepers"

// RecordKey is the registry's record that holds all drains, by machine.
const RecordKey = "drains"

// markOwner is the name under which a machine's servers are marked. It is the drain's and not
// the operator's, so that whoever resumes or undoes the drain may change the marks.
func markOwner(machine string) string { return "drain:" + machine }

var (
	// ErrRefused is wrapped by errors of calls that changed nothing. Their text says why, and
	// what to do.
	ErrRefused = errors.New("refused")
	// ErrClaimLost says that the claim has passed to another owner.
	ErrClaimLost = errors.New("the claim is lost")
	// ErrTimeout says that the time for the drain was up.
	ErrTimeout = errors.New("out of time")
)

func refusal(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrRefused, fmt.Sprintf(format, args...))
}
