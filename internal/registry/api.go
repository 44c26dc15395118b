package registry

import (
	"encoding/json"
	"fmt"

	"barleywick/internal/rollout"
)

// The write interface's messages. docs/REGISTRY.md describes them.

// RegisterRequest is the body of PUT instances/HOST.
type RegisterRequest struct {
	Instance  Instance `json:"instance"`
	Session   string   `json:"session"`
	TTLMS     int64    `json:"ttl_ms"`
	Machine   string   `json:"machine,omitempty"`
	IfVersion *uint64  `json:"if_version,omitempty"`
}

// RenewRequest is the body of POST instances/HOST/renew.
type RenewRequest struct {
	Session string `json:"session"`
}

// MarkRequest is the body of POST marks.
type MarkRequest struct {
	Fence           *Fence   `json:"fence,omitempty"` // only while this token is the lease's
	Hosts           []string `json:"hosts"`
	MarkedBy        string   `json:"by"`
	Draining        bool     `json:"draining"`
	IfVersion       *uint64  `json:"if_version,omitempty"` // with one host
	IfRecord        string   `json:"record,omitempty"`     // only while this record
	IfRecordVersion uint64   `json:"record_at,omitempty"`  // has this version
}

// PutRequest is the body of PUT records/KEY.
type PutRequest struct {
	Value     Base64  `json:"value"`
	IfVersion *uint64 `json:"if_version,omitempty"`
	Fence     *Fence  `json:"fence,omitempty"` // only while this token is the lease's
}

// Base64 is bytes that stand in JSON as text in base64.
type Base64 []byte

// UnmarshalJSON says what is wanted where it is something else.
func (b *Base64) UnmarshalJSON(text []byte) error {
	var plain []byte
	if err := json.Unmarshal(text, &plain); err != nil {
		return fmt.Errorf("value is not a text in base64: %w", err)
	}
	*b = plain
	return nil
}

// AcquireRequest is the body of POST leases/NAME/acquire.
type AcquireRequest struct {
	Claim
	Wait bool `json:"wait,omitempty"` // take a place in the line where it is not free
}

// ReleaseRequest is the body of POST leases/NAME/release.
type ReleaseRequest struct {
	ClaimID string `json:"claim"`
	Holder
	NextHolder string `json:"to,omitempty"` // who waits and is to have it next
}

// YieldRequest is the body of POST leases/NAME/ask, an operator's.
type YieldRequest struct {
	Yield      bool   `json:"leave,omitempty"` // the holder is to give it up
	NextHolder string `json:"to,omitempty"`    // to this one, who waits
	Pause      *bool  `json:"pause,omitempty"` // nobody is to hold it, or that is over
}

// RenewClaimsRequest is the body of POST renewals: a sign of life for claims of one
// process, held or waiting.
type RenewClaimsRequest struct {
	Holder
	Claims []ClaimRef `json:"claims"`
}

// MaxRenewals is how many claims one call may renew.
const MaxRenewals = 256

// ClaimStatus is how a claim stands. A token means that it holds its lease.
type ClaimStatus struct {
	Lease          string `json:"name"`
	ClaimID        string `json:"claim"`
	Token          uint64 `json:"token,omitempty"`
	QueuePosition  int    `json:"place,omitempty"` // in the line, from 1 on
	YieldRequested bool   `json:"leave,omitempty"` // give it up; it has not been renewed
	NextHolder     string `json:"to,omitempty"`    // to this one
	Ended          bool   `json:"gone,omitempty"`  // the claim has ended
}

// RenewClaimsResponse is the answer to POST renewals, in the order of the call.
type RenewClaimsResponse struct {
	Claims []ClaimStatus `json:"claims"`
}

// PolicyRequest is the body of POST policy; the answer is the named member's view.
type PolicyRequest struct {
	rollout.Command
	Fence *Fence `json:"fence,omitempty"` // only while this token is the lease's
}

// LeasesResponse is the answer to GET leases.
type LeasesResponse struct {
	Version      uint64  `json:"version"`
	GrantsClosed bool    `json:"shut,omitempty"` // none is granted yet
	Leases       []Lease `json:"leases"`
}

// WriteResponse is the answer to a write.
type WriteResponse struct {
	Version uint64 `json:"version"`         // of the entry or record
	Seq     uint64 `json:"seq"`             // of the list
	Error   string `json:"error,omitempty"` // one line, where it was not done
}

// RegistrationsResponse is the answer to GET instances.
type RegistrationsResponse struct {
	Group         string            `json:"group"`
	Seq           uint64            `json:"seq"`
	Registrations []Registration    `json:"entries"`
	Marks         map[string]string `json:"marks"`
}

// ReplicaInfo is one replica of a group.
type ReplicaInfo struct {
	ID   string `json:"id"`
	HTTP string `json:"http"` // where it serves
	Raft string `json:"raft"` // where replicas reach it
}

// StatusResponse is the answer to GET status.
type StatusResponse struct {
	ID         string        `json:"id"`
	Group      string        `json:"group"`
	State      string        `json:"state"` // leader, follower, candidate
	Leader     string        `json:"leader"`
	Read       string        `json:"read"` // as the header says
	Ready      bool          `json:"ready"`
	Seq        uint64        `json:"seq"`
	Term       uint64        `json:"term"`
	Applied    uint64        `json:"applied"`
	Replicas   []ReplicaInfo `json:"members"`
	Watches    int           `json:"watches"`
	WatchSeq   uint64        `json:"watch_seq"` // the oldest version that a watch here has been sent
	Sessions   int           `json:"sessions"`
	ExpiryHeld bool          `json:"expiry_held"`
	Claims     int           `json:"claims"` // on leases, held and waiting, that the leader follows
}

const (
	// ListPath is where the list is, by the protocol.
	ListPath = "/registry/instances"
	// APIPath begins the paths of the write interface.
	APIPath = "/registry/v1/"
	// ReadHeader says in each answer how fresh what it tells is.
	ReadHeader = "Registry-Read"
	// ReadStale means that the replica has no contact with a leader.
	ReadStale = "stale"
	// ReadCurrent means that it heard of a leader lately: an answer may still be a
	// moment behind.
	ReadCurrent = "current"
	// ReadLinearizable means that the leader made sure that it still is the leader.
	ReadLinearizable = "linearizable"
)
