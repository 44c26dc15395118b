package registry

import (
	"encoding/json"
	"fmt"

	"barleywick/internal/rollout"
)

// Paths of the API, and the header that states the freshness of a response.
// docs/REGISTRY.md describes the calls.
const (
	// ListPath is the path of the list and its watch in the discovery protocol.
	ListPath = "/registry/instances"
	// APIPath is the prefix of the paths of all other calls.
	APIPath = "/registry/v1/"
	// ReadHeader is the header that states the freshness of a response. Its value begins with
	// one of the values below.
	ReadHeader = "Registry-Read"
	// ReadStale means that the response may be arbitrarily old: the replica has no recent
	// confirmation from the leader.
	ReadStale = "stale"
	// ReadCurrent means that the replica has confirmed with the leader that the response
	// includes every write acknowledged up to the age that follows this value.
	ReadCurrent = "current"
	// ReadLinearizable means that the leader verified its leadership for this response.
	ReadLinearizable = "linearizable"
)

// MaxRenewals is the maximum number of claims that one call may renew.
const MaxRenewals = 256

// Base64 is a byte string that is encoded as base64 in JSON.
type Base64 []byte

// UnmarshalJSON decodes base64 text. Its error states that base64 is expected.
func (b *Base64) UnmarshalJSON(text []byte) error {
	var plain []byte
	if err := json.Unmarshal(text, &plain); err != nil {
		return fmt.Errorf("value is not a text in base64: %w", err)
	}
	*b = plain
	return nil
}

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
	Fence           *Fence   `json:"fence,omitempty"` // applied only if the token is that of the lease's current grant
	Hosts           []string `json:"hosts"`
	MarkedBy        string   `json:"by"`
	Draining        bool     `json:"draining"`
	IfVersion       *uint64  `json:"if_version,omitempty"` // used with a single host only
	IfRecord        string   `json:"record,omitempty"`     // applied only if this record
	IfRecordVersion uint64   `json:"record_at,omitempty"`  // has this version
}

// PutRequest is the body of PUT records/KEY.
type PutRequest struct {
	Value     Base64  `json:"value"`
	IfVersion *uint64 `json:"if_version,omitempty"`
	Fence     *Fence  `json:"fence,omitempty"` // applied only if the token is that of the lease's current grant
}

// AcquireRequest is the body of POST leases/NAME/acquire.
type AcquireRequest struct {
	Claim
	Wait bool `json:"wait,omitempty"` // queue if the lease is not free
}

// ReleaseRequest is the body of POST leases/NAME/release.
type ReleaseRequest struct {
	ClaimID string `json:"claim"`
	Holder
	NextHolder string `json:"to,omitempty"` // the queued holder that is granted the lease next
}

// YieldRequest is the body of POST leases/NAME/ask, by which an operator asks the holder
// to yield the lease, or pauses the lease.
type YieldRequest struct {
	Yield      bool   `json:"leave,omitempty"`
	NextHolder string `json:"to,omitempty"`    // the queued holder that is granted the lease next
	Pause      *bool  `json:"pause,omitempty"` // true: ask the holder to yield, and grant the lease to no one until it is resumed; false: resume it
}

// RenewClaimsRequest is the body of POST renewals, which renews held and queued claims
// of one process.
type RenewClaimsRequest struct {
	Holder
	Claims []ClaimRef `json:"claims"`
}

// RenewClaimsResponse is the response to POST renewals, in the order of the request.
type RenewClaimsResponse struct {
	Claims []ClaimStatus `json:"claims"`
}

// ClaimStatus is the status of a claim: it holds its lease with a token, is queued, is
// asked to yield, or has ended.
type ClaimStatus struct {
	Lease          string `json:"name"`
	ClaimID        string `json:"claim"`
	Token          uint64 `json:"token,omitempty"`
	QueuePosition  int    `json:"place,omitempty"` // counted from 1
	YieldRequested bool   `json:"leave,omitempty"` // the holder is asked to yield, and the claim was not renewed
	NextHolder     string `json:"to,omitempty"`    // the holder that the lease is to be yielded to
	Ended          bool   `json:"gone,omitempty"`
}

// PolicyRequest is the body of POST policy. The response is the view of the member that the
// command names.
type PolicyRequest struct {
	rollout.Command
	Fence *Fence `json:"fence,omitempty"` // applied only if the token is that of the lease's current grant
}

// LeasesResponse is the response to GET leases.
type LeasesResponse struct {
	Version      uint64  `json:"version"`
	GrantsClosed bool    `json:"shut,omitempty"` // the group does not grant leases yet
	Leases       []Lease `json:"leases"`
}

// WriteResponse is the response to a write.
type WriteResponse struct {
	Version uint64 `json:"version"`         // version of the registration or record
	Seq     uint64 `json:"seq"`             // version of the list
	Error   string `json:"error,omitempty"` // one line; set if the write was not applied
}

// RegistrationsResponse is the response to GET instances.
type RegistrationsResponse struct {
	Group         string            `json:"group"`
	Seq           uint64            `json:"seq"`
	Registrations []Registration    `json:"entries"`
	Marks         map[string]string `json:"marks"`
}

// CommitResponse is the response to GET commit, a call between replicas.
type CommitResponse struct {
	CommitIndex uint64 `json:"commit_index"` // log index that covers every write acknowledged before the call
}

// ReplicaInfo identifies one replica of a group and its addresses.
type ReplicaInfo struct {
	ID   string `json:"id"`
	HTTP string `json:"http"` // address of the API
	Raft string `json:"raft"` // address for the other replicas
}

// StatusResponse is the response to GET status.
type StatusResponse struct {
	ID         string        `json:"id"`
	Group      string        `json:"group"`
	State      string        `json:"state"` // leader, follower or candidate
	Leader     string        `json:"leader"`
	Read       string        `json:"read"` // as in ReadHeader
	Ready      bool          `json:"ready"`
	Seq        uint64        `json:"seq"`
	Term       uint64        `json:"term"`
	Applied    uint64        `json:"applied"`
	Replicas   []ReplicaInfo `json:"members"`
	Watches    int           `json:"watches"`
	WatchSeq   uint64        `json:"watch_seq"` // the oldest of the latest list versions sent to its watches
	Sessions   int           `json:"sessions"`
	ExpiryHeld bool          `json:"expiry_held"` // expiry is suspended since too many sessions expired at once
	Claims     int           `json:"claims"`      // claims tracked by the leader
}
