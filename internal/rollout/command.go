package rollout

import "errors"

// Op is the operation of a command.
type Op string

// The operations.
const (
	OpJoin    Op = "join"    // a sidecar joins the roster, before it reports ready
	OpLeave   Op = "leave"   // a sidecar leaves the roster, or its roster lease has ended
	OpAck     Op = "say"     // a member acknowledges a stage, or refuses a change
	OpEvict   Op = "evict"   // an operator states that a member's process has ended
	OpPropose Op = "propose" // an operator proposes a policy
	OpAbort   Op = "abort"   // an operator, or the leader at the deadline, aborts a change
	OpAdvance Op = "advance" // the leader advances the change to the next stage
	OpReport  Op = "report"  // a member reports its counts during StageCanary
)

// Command is one change of the state. Its operation determines which fields are used.
type Command struct {
	Op             Op            `json:"verb"`
	AtMS           int64         `json:"at_ms,omitempty"`
	Member         Member        `json:"member,omitzero"`
	ChangeNumber   uint64        `json:"number,omitempty"`
	Stage          Stage         `json:"stage,omitempty"`
	Refusal        string        `json:"no,omitempty"` // of OpAck: why the member does not support the change
	Document       *Document     `json:"document,omitempty"`
	BaseEpoch      uint64        `json:"base,omitempty"` // of OpPropose: the epoch that the document was compared with
	By             string        `json:"by,omitempty"`
	Reason         string        `json:"reason,omitempty"`
	WithinMS       int64         `json:"within_ms,omitempty"` // of OpPropose: the time that the change may take
	CanaryFraction float64       `json:"first,omitempty"`     // of OpPropose
	CanaryWatchMS  int64         `json:"watch_ms,omitempty"`  // of OpPropose
	Process        Process       `json:"where,omitzero"`      // of OpJoin
	Counts         RequestCounts `json:"counts,omitzero"`     // of OpReport
}

// The errors of commands that were not applied.
var (
	ErrInvalid      = errors.New("bad command")
	ErrConflict     = errors.New("conflict")
	ErrNotFound     = errors.New("unknown")
	ErrLimitReached = errors.New("full")
)
