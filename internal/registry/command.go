package registry

import (
	"barleywick/internal/rollout"
)

// Op is the operation of a command.
type Op string

// Operations on the endpoint list, on records and on the fleet policy.
const (
	OpFoundGroup     Op = "found"    // starts a group's history; the first command of every log
	OpRegister       Op = "register" // registers an instance, or changes its registration
	OpMark           Op = "mark"     // sets or clears drain marks
	OpRemove         Op = "remove"   // removes an instance
	OpExpireSessions Op = "expire"   // removes the instances whose sessions have expired
	OpPutRecord      Op = "put"      // writes a record
	OpDeleteRecord   Op = "drop"     // deletes a record
	OpRestore        Op = "restore"  // replaces the contents with those of a backup
	OpPolicyStep     Op = "policy"   // a step of a rollout, or a change of its roster
)

// Operations on leases.
const (
	OpAcquireLease Op = "lease_acquire" // claims a lease, or queues the claim
	OpReleaseLease Op = "lease_release" // ends a held or queued claim
	OpExpireClaims Op = "lease_end"     // ends expired claims; submitted by the leader
	OpRequestYield Op = "lease_ask"     // asks a holder to yield, or pauses a lease; submitted by an operator
	OpOpenGrants   Op = "lease_open"    // lets a new group grant leases; submitted by the leader
)

// Command is one change that all replicas apply in the same order. It is stored in the
// Raft log as JSON.
type Command struct {
	Op Op `json:"op"`
	// AtMS is when the leader accepted the command, in milliseconds since 1970.
	AtMS int64 `json:"at_ms,omitempty"`
	// Term, if set, makes the command void in a log entry of another term: a leader's time
	// measurements are no longer valid once another replica may have been the leader.
	Term uint64 `json:"term,omitempty"`
	// IfVersion makes the command conditional on the current version of the registration
	// or record that it changes; 0 requires that there is none.
	IfVersion *uint64 `json:"if_version,omitempty"`

	Group           string       `json:"group,omitempty"`
	Instance        *Instance    `json:"instance,omitempty"`
	Host            string       `json:"host,omitempty"`
	Session         string       `json:"session,omitempty"`
	TTLMS           int64        `json:"ttl_ms,omitempty"`
	Machine         string       `json:"machine,omitempty"`
	Draining        bool         `json:"draining,omitempty"`
	MarkedBy        string       `json:"by,omitempty"`        // OpMark: who sets the mark; it is cleared only under the same name
	ExpiredSessions []SessionRef `json:"ended,omitempty"`     // OpExpireSessions
	Key             string       `json:"key,omitempty"`       // OpPutRecord, OpDeleteRecord
	Value           []byte       `json:"value,omitempty"`     // OpPutRecord
	Hosts           []string     `json:"hosts,omitempty"`     // OpMark: applied to all of them or none
	IfRecord        string       `json:"record,omitempty"`    // OpMark: applied only if this record
	IfRecordVersion uint64       `json:"record_at,omitempty"` // has this version
	Backup          []byte       `json:"backup,omitempty"`    // OpRestore: output of State.MarshalJSON

	Lease *LeaseCommand `json:"lease,omitempty"` // set for operations on leases
	Fence *Fence        `json:"fence,omitempty"` // applied only if the token is that of the lease's current grant

	PolicyStep *rollout.Command `json:"policy,omitempty"`
}

// SessionRef identifies an expired session. It is ignored if the host has another session
// by then.
type SessionRef struct {
	Host    string `json:"host"`
	Session string `json:"session"`
}

// LeaseCommand is the part of a command that concerns leases.
type LeaseCommand struct {
	Name       string     `json:"name,omitempty"`
	Claim      Claim      `json:"claim,omitzero"`
	Wait       bool       `json:"wait,omitempty"`  // OpAcquireLease: queue if the lease is not free
	NextHolder string     `json:"to,omitempty"`    // OpReleaseLease, OpRequestYield
	Yield      bool       `json:"leave,omitempty"` // OpRequestYield
	Pause      *bool      `json:"pause,omitempty"` // OpRequestYield
	Expired    []ClaimRef `json:"ends,omitempty"`  // OpExpireClaims
}

// Result is the result of a command.
type Result struct {
	Version       uint64   // version of the registration or record afterwards; 0 if there is none
	Seq           uint64   // version of the list afterwards
	ChangedHosts  []string // hosts whose list entries changed
	Token         uint64   // fencing token, if the claim holds its lease
	QueuePosition int      // position in the queue, counted from 1, if the claim is queued
	Err           error    // nil if the command was applied
}
