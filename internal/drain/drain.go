// Package drain takes a machine out of service without losing a request: it claims the
// machine, checks that the remaining servers suffice, marks the machine's servers as draining,
// waits until the sidecars are notified and the servers have no work, and stops the machine's
// processes.
//
// The workflow is a state machine. Its state is kept in the registry, in one record for all
// machines, and changes only by compare-and-set. The process that runs a drain holds a claim that
// it has to renew; if the claim expires, another process can resume the drain at its step or undo it.
// Because all drains are in one record, two concurrent drains cannot both rely on the same
// servers to remain.
package drain

import (
	"errors"
	"fmt"
)

// Step is the progress of a drain. Its text is stored in the record.
type Step string

// The steps, in their order.
const (
	Claimed  Step = "claimed"  // the drain is claimed and the floor holds; nothing has changed yet
	Marked   Step = "marked"   // the machine's servers are marked as draining
	Drained  Step = "drained"  // the sidecars are notified, and the servers are idle
	Stopping Step = "stopping" // the servers are being stopped; from here on only Undrain can undo the drain
	Stopped  Step = "stopped"  // the servers are stopped; the drain waits for the machine's other members
	Done     Step = "done"
	Undoing  Step = "undoing" // the marks are being removed
)

// canTimeOut reports whether a drain is undone if its deadline passes at this step.
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
	// DeadlineMS is the time at which controllers undo a drain that has not reached Stopping; 0: never.
	DeadlineMS int64 `json:"until_ms,omitempty"`
	// Note is for display: what the drain is waiting for, or its last error.
	Note string `json:"note,omitempty"`
}

// OwnerControllers is the owner of drains that were handed over to the controllers. The lease of the
// drain task decides which controller may run them, not the expiry of the claim.
const OwnerControllers = "keepers"

// RecordKey is the key of the registry's record that holds all drains, by machine.
const RecordKey = "drains"

// markOwner is the name under which a machine's servers are marked. It names the drain and not
// the operator, so that any process that resumes or undoes the drain may change the marks.
func markOwner(machine string) string { return "drain:" + machine }

var (
	// ErrRefused is wrapped by errors of calls that changed nothing. Their text gives the reason
	// and what to do.
	ErrRefused = errors.New("refused")
	// ErrClaimLost means that the claim has passed to another owner.
	ErrClaimLost = errors.New("the claim is lost")
	// ErrTimeout means that the deadline of the drain has passed.
	ErrTimeout = errors.New("timed out")
)

func refusal(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrRefused, fmt.Sprintf(format, args...))
}
