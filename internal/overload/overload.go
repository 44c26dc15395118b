// Package overload limits, over a whole fleet of sidecars, tenants that ask for more than
// their quota while the booking servers are congested. Each sidecar reports its load once a
// second (Digest), the overload controller works out which part of each tenant's requests may
// be tried (Planner), and answers with that advice (Advice). Advice only tightens what a
// sidecar does by itself, is valid for a few seconds, and is accepted from the latest lease
// holder only (AdviceFilter).
//
// The package has no clock and does no I/O. docs/OVERLOAD.md describes it for operators.
package overload

import "time"

// Names that the fleet shares.
const (
	// LeaseName is the lease under which one controller gives the advice.
	LeaseName = "overload"
	// RecordKey is the registry's record that holds the Location.
	RecordKey = "overload"
	// Path is the HTTP path at which that controller takes digests (POST) and serves advice (GET).
	Path = "/overload"
)

// Times and limits of the exchange.
const (
	// ReportInterval is the time between two digests of a sidecar, and between two plans. A queue
	// at the servers builds up and drains in about that time.
	ReportInterval = time.Second
	// AdviceTTL is how long advice is valid, so that two responses may be lost.
	AdviceTTL = 3 * time.Second
	// MaxTenants bounds the tenants of a message.
	MaxTenants = 64
	// MaxSidecars bounds the sidecars that a Planner knows.
	MaxSidecars = 4096
	// MaxMessageBytes bounds a message, which is read whole into memory.
	MaxMessageBytes = 16 << 10

	maxNameLength = 128
)
