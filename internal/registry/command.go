package registry

import (
	"barleywick/internal/rollout"
)

// Op names what a command does.
type Op string

// The commands.
const (
	OpFoundGroup     Op = "found"    // begins a history; the first of every log
	OpRegister       Op = "register" // takes an instance in, or changes it
	OpMark           Op = "mark"     // marks a host draining, or takes the mark back
	OpRemove         Op = "remove"   // takes an instance out
	OpExpireSessions Op = "expire"   // takes instances out whose sessions have ended
	OpPutRecord      Op = "put"      // writes a record
	OpDeleteRecord   Op = "drop"     // deletes a record
	OpRestore        Op = "restore"  // puts a backup's contents in place of all there is
	OpPolicyStep     Op = "policy"   // a step of a change of policy, or of its roster
)

// Command is one change that all replicas apply in the same order.
type Command struct {
	Op Op `json:"op"`
	// AtMS is when the leader took the command on, as Unix time in milliseconds.
	AtMS int64 `json:"at_ms,omitempty"`
	// Term makes the command one of a leader's term: it is passed over if the log has it
	// from another. What a leader counted is void once another may have led.
	Term uint64 `json:"term,omitempty"`
	// IfVersion makes the command conditional on the version of the entry or
	// record that it changes; 0 means that there must be none.
	IfVersion *uint64 `json:"if_version,omitempty"`

	Group           string       `json:"group,omitempty"`
	Instance        *Instance    `json:"instance,omitempty"`
	Host            string       `json:"host,omitempty"`
	Session         string       `json:"session,omitempty"`
	TTLMS           int64        `json:"ttl_ms,omitempty"`
	Machine         string       `json:"machine,omitempty"`
	Draining        bool         `json:"draining,omitempty"`
	MarkedBy        string       `json:"by,omitempty"`        // who marks: only the same takes the mark back
	ExpiredSessions []SessionRef `json:"ended,omitempty"`     // of Expire
	Key             string       `json:"key,omitempty"`       // of a record
	Value           []byte       `json:"value,omitempty"`     // of a record
	Hosts           []string     `json:"hosts,omitempty"`     // of Mark: all of them or none
	IfRecord        string       `json:"record,omitempty"`    // of Mark: only while this record
	IfRecordVersion uint64       `json:"record_at,omitempty"` // has this version
	Backup          []byte       `json:"backup,omitempty"`    // of Restore: what MarshalJSON wrote

	Lease *LeaseCommand `json:"lease,omitempty"` // of the commands on leases
	Fence *Fence        `json:"fence,omitempty"` // only while this token is the lease's

	PolicyStep *rollout.Command `json:"policy,omitempty"`
}

// SessionRef is a session that is over: it counts only while the host still has it.
type SessionRef struct {
	Host    string `json:"host"`
	Session string `json:"session"`
}

// Result is what became of a command.
type Result struct {
	Version       uint64   // of the entry or record afterwards; 0 where there is none
	Seq           uint64   // of the list afterwards
	ChangedHosts  []string // hosts whose entry in the list changed
	Token         uint64   // of the claim's grant, where it has one
	QueuePosition int      // of the claim in the line, from 1 on, where it waits
	Err           error
}

// The commands on leases.
const (
	OpAcquireLease Op = "lease_acquire" // asks for a lease, or for a place in its line
	OpReleaseLease Op = "lease_release" // gives a claim up, held or waiting
	OpExpireClaims Op = "lease_end"     // ends claims whose time is up: the leader's
	OpRequestYield Op = "lease_ask"     // an operator asks a holder to leave, or pauses a lease
	OpOpenGrants   Op = "lease_open"    // lets grants begin: the leader's
)

// LeaseCommand is a command's part that is about leases.
type LeaseCommand struct {
	Name       string     `json:"name,omitempty"`
	Claim      Claim      `json:"claim,omitzero"`
	Wait       bool       `json:"wait,omitempty"`  // of LeaseAcquire: take a place in the line
	NextHolder string     `json:"to,omitempty"`    // of LeaseRelease and LeaseAsk: the next holder
	Yield      bool       `json:"leave,omitempty"` // of LeaseAsk
	Pause      *bool      `json:"pause,omitempty"` // of LeaseAsk
	Expired    []ClaimRef `json:"ends,omitempty"`  // of LeaseEnd
}
