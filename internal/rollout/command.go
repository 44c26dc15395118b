package rollout

import "errors"

// Op says what a command does.
type Op string

// The commands.
const (
	OpJoin    Op = "join"    // a sidecar takes a seat, before it is ready
	OpLeave   Op = "leave"   // it gives it up, or its lease has ended
	OpAck     Op = "say"     // it confirms a stage, or refuses a change
	OpEvict   Op = "evict"   // an operator's word that it has gone
	OpPropose Op = "propose" // an operator's
	OpAbort   Op = "abort"   // an operator's, or the leader's whose time is up
	OpAdvance Op = "advance" // the leader's: the next stage, if everybody is there
	OpReport  Op = "report"  // a sidecar's counts, while a few go ahead
)

// Command is one change of the state.
type Command struct {
	Op             Op            `json:"verb"`
	AtMS           int64         `json:"at_ms,omitempty"`
	Member         Member        `json:"member,omitzero"`
	ChangeNumber   uint64        `json:"number,omitempty"` // of the change that is meant
	Stage          Stage         `json:"stage,omitempty"`
	Refusal        string        `json:"no,omitempty"` // of Say: why it cannot
	Document       *Document     `json:"document,omitempty"`
	BaseEpoch      uint64        `json:"base,omitempty"` // of Propose: the epoch that it was compared with
	By             string        `json:"by,omitempty"`
	Reason         string        `json:"reason,omitempty"`
	WithinMS       int64         `json:"within_ms,omitempty"`
	CanaryFraction float64       `json:"first,omitempty"`    // of Propose
	CanaryWatchMS  int64         `json:"watch_ms,omitempty"` // of Propose
	Process        Process       `json:"where,omitzero"`     // of Join
	Counts         RequestCounts `json:"counts,omitzero"`    // of Report
}

// Why a command was not carried out.
var (
	ErrInvalid      = errors.New("bad command")
	ErrConflict     = errors.New("conflict")
	ErrNotFound     = errors.New("unknown")
	ErrLimitReached = errors.New("full")
)
