package registry

import (
	"barleywick/internal/rollout"
)

// Op names what a command does.
type Op string

// The operations on the endpoint list, on records and on the fleet policy.
const (
	OpFoundGroup     Op = "found"    // begins a group's history; the first command of every log
	OpRegister       Op = "register" // registers an instance, or changes its registration
	OpMark           Op = "mark"     // sets drain marks, or clears them
	OpRemove         Op = "remove"   // removes an instance
	OpExpireSessions Op = "expire"   // removes the instances whose sessions have expired
	OpPutRecord      Op = "put"      // writes a record
	OpDeleteRecord   Op = "drop"     // deletes a record
	OpRestore        Op = "restore"  // replaces the contents by those of a backup
	OpPolicyStep     Op = "policy"   // a step of a rollout, or a change of its roster
)

// The operations on leases.
const (
	OpAcquireLease Op = "lease_acquire" // claims a lease, or queues for it
	OpReleaseLease Op = "lease_release" // ends a claim, held or queued
	OpExpireClaims Op = "lease_end"     // ends the claims whose time to live is over; the leader's
	OpRequestYield Op = "lease_ask"     // asks a holder to yield, or pauses a lease; an operator's
	OpOpenGrants   Op = "lease_open"    // lets a new group begin to grant leases; the leader's
)

// Command is one change that all replicas apply in the same order. It is stored in the
// Raft log as JSON.
type Command struct {
	Op Op `json:"op"`
	// AtMS is when the leader accepted the command, in milliseconds since 1970.
	AtMS int64 `json:"at_ms,omitempty"`
	// Term, where it is set, voids the command in a log entry of another term: what a
	// leader has measured is void once another replica may have led.
	Term uint64 `json:"term,omitempty"`
	// IfVersion makes the command conditional on the version of the registration or
	// record that it changes; 0 means that there must be none.
	IfVersion *uint64 `json:"if_version,omitempty"`

	Group           string       `json:"group,omitempty"`
	Instance        *Instance    `json:"instance,omitempty"`
	Host            string       `json:"host,omitempty"`
	Session         string       `json:"session,omitempty"`
	TTLMS           int64        `json:"ttl_ms,omitempty"`
	Machine         string       `json:"machine,omitempty"`
	Draining        bool         `json:"draining,omitempty"`
	MarkedBy        string       `json:"by,omitempty"`        // OpMark: only the same operator clears the mark
	ExpiredSessions []SessionRef `json:"ended,omitempty"`     // OpExpireSessions
	Key             string       `json:"key,omitempty"`       // OpPutRecord, OpDeleteRecord
	Value           []byte       `json:"value,omitempty"`     // OpPutRecord
	Hosts           []string     `json:"hosts,omitempty"`     // OpMark: all of them or none
	IfRecord        string       `json:"record,omitempty"`    // OpMark: only while this record
	IfRecordVersion uint64       `json:"record_at,omitempty"` // has this version
	Backup          []byte       `json:"backup,omitempty"`    // OpRestore: as State.MarshalJSON wrote it

	Lease *LeaseCommand `json:"lease,omitempty"` // of the operations on leases
	Fence *Fence        `json:"fence,omitempty"` // only while this is the lease's token

	PolicyStep *rollout.Command `json:"policy,omitempty"`
}

// SessionRef names a session that has expired. It counts only while the host still has
// that session.
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

// Result is what a command came to.
type Result struct {
	Version       uint64   // of the registration or record afterwards; 0 if there is none
	Seq           uint64   // the list's version afterwards
	ChangedHosts  []string // the hosts whose entry in the list changed
	Token         uint64   // the fencing token, if the claim holds its lease
	QueuePosition int      // the claim's position in the queue, from 1 on, if it is queued
	Err           error    // nil if the command was carried out
}
