package registry

import (
	"encoding/json"
	"fmt"

	"barleywick/internal/rollout"
)

// The paths of the API, and the header that says how fresh a response is. docs/REGISTRY.md
// describes the calls.
const (
	// ListPath is the path of the list and its watch in the discovery protocol.
	ListPath = "/registry/instances"
	// APIPath begins the paths of all other calls.
	APIPath = "/registry/v1/"
	// ReadHeader is the header that says how fresh a response is: one of the values below.
	ReadHeader = "Registry-Read"
	// ReadStale means that the replica cannot say what the response lacks: it may have any age.
	ReadStale = "stale"
	// ReadCurrent means that all that was acknowledged before the age that follows it is in
	// the response: the replica has asked the leader.
	ReadCurrent = "current"
	// ReadLinearizable means that the leader has verified its leadership for this response.
	ReadLinearizable = "linearizable"
)

// MaxRenewals is how many claims one call may renew.
const MaxRenewals = 256

// Base64 is a value that JSON holds as base64 text.
type Base64 []byte

// UnmarshalJSON reads base64 text. Its error says what was expected.
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
	Fence           *Fence   `json:"fence,omitempty"` // only while this is the lease's token
	Hosts           []string `json:"hosts"`
	MarkedBy        string   `json:"by"`
	Draining        bool     `json:"draining"`
	IfVersion       *uint64  `json:"if_version,omitempty"` // with a single host
	IfRecord        string   `json:"record,omitempty"`     // only while this record
	IfRecordVersion uint64   `json:"record_at,omitempty"`  // has this version
}

// PutRequest is the body of PUT records/KEY.
type PutRequest struct {
	Value     Base64  `json:"value"`
	IfVersion *uint64 `json:"if_version,omitempty"`
	Fence     *Fence  `json:"fence,omitempty"` // only while this is the lease's token
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
	NextHolder string `json:"to,omitempty"` // who in the queue gets the lease next
}

// YieldRequest is the body of POST leases/NAME/ask: an operator asks the holder to yield
// the lease, or pauses it.
type YieldRequest struct {
	Yield      bool   `json:"leave,omitempty"`
	NextHolder string `json:"to,omitempty"`    // who in the queue gets the lease next
	Pause      *bool  `json:"pause,omitempty"` // true: nobody may hold the lease; false: the pause is over
}

// RenewClaimsRequest is the body of POST renewals. It renews claims of one process, held
// or queued.
type RenewClaimsRequest struct {
	Holder
	Claims []ClaimRef `json:"claims"`
}

// RenewClaimsResponse is the answer to POST renewals, in the order of the request.
type RenewClaimsResponse struct {
	Claims []ClaimStatus `json:"claims"`
}

// ClaimStatus is how a claim stands: it holds its lease with a token, is queued, is asked
// to yield, or has ended.
type ClaimStatus struct {
	Lease          string `json:"name"`
	ClaimID        string `json:"claim"`
	Token          uint64 `json:"token,omitempty"`
	QueuePosition  int    `json:"place,omitempty"` // from 1 on
	YieldRequested bool   `json:"leave,omitempty"` // the claim was not renewed
	NextHolder     string `json:"to,omitempty"`    // to whom the holder is asked to yield
	Ended          bool   `json:"gone,omitempty"`
}

// PolicyRequest is the body of POST policy. The answer is the view of the member that the
// command names.
type PolicyRequest struct {
	rollout.Command
	Fence *Fence `json:"fence,omitempty"` // only while this is the lease's token
}

// LeasesResponse is the answer to GET leases.
type LeasesResponse struct {
	Version      uint64  `json:"version"`
	GrantsClosed bool    `json:"shut,omitempty"` // the group does not grant leases yet
	Leases       []Lease `json:"leases"`
}

// WriteResponse is the answer to a write.
type WriteResponse struct {
	Version uint64 `json:"version"`         // of the registration or record
	Seq     uint64 `json:"seq"`             // the list's version
	Error   string `json:"error,omitempty"` // one line, if the write was not carried out
}

// RegistrationsResponse is the answer to GET instances.
type RegistrationsResponse struct {
	Group         string            `json:"group"`
	Seq           uint64            `json:"seq"`
	Registrations []Registration    `json:"entries"`
	Marks         map[string]string `json:"marks"`
}

// CommitResponse is the answer to GET commit, a call between replicas.
type CommitResponse struct {
	CommitIndex uint64 `json:"commit_index"` // of the log; all that was acknowledged before the call is within it
}

// ReplicaInfo names one replica of a group and its addresses.
type ReplicaInfo struct {
	ID   string `json:"id"`
	HTTP string `json:"http"` // where it serves the API
	Raft string `json:"raft"` // where the other replicas reach it
}

// StatusResponse is the answer to GET status.
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
	WatchSeq   uint64        `json:"watch_seq"` // the oldest version that one of its watches has been sent
	Sessions   int           `json:"sessions"`
	ExpiryHeld bool          `json:"expiry_held"` // too many sessions have expired at once
	Claims     int           `json:"claims"`      // that the leader tracks
}
