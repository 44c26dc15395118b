// Package overload limits, over a whole fleet of sidecars, tenants that request more than their quota
// while the booking servers are congested. Each sidecar reports its load once per second (Digest). The
// overload controller computes the fraction of each tenant's requests that sidecars may admit
// (Planner), and responds with it (Advice). Advice only adds to the load that a sidecar sheds on its
// own, is valid for a few seconds, and is accepted only from the latest lease holder (AdviceFilter).
//
// The package reads no clock and does no I/O. docs/OVERLOAD.md describes it for operators.
package overload

import "time"

// Names that the fleet shares.
const (
	// LeaseName is the lease under which one controller computes the advice.
	LeaseName = "overload"
	// RecordKey is the key of the registry record that holds the Location.
	RecordKey = "overload"
	// Path is the HTTP path at which that controller receives digests (POST) and serves advice (GET).
	Path = "/overload"
)

// Times and limits of the exchange.
const (
	// ReportInterval is the time between two digests of a sidecar, and between two plans. A queue
	// at the servers builds up and drains in about that time.
	ReportInterval = time.Second
	// AdviceTTL is how long advice is valid. It allows for two lost responses.
	AdviceTTL = 3 * time.Second
	// MaxTenants bounds the tenants in a message.
	MaxTenants = 64
	// MaxSidecars bounds the sidecars that a Planner tracks.
	MaxSidecars = 4096
	// MaxMessageBytes bounds the size of a message, which is read into memory as a whole.
	MaxMessageBytes = 16 << 10

	maxNameLength = 128
)
