// Package overload is what a fleet of sidecars does about more being asked of it than its
// servers bear, where it is given a word: each sidecar tells once a second what came to
// it (Digest), one task works out what part of each tenant's requests may be tried
// (Planner), and its word goes back (Advice). Advice only ever tightens, counts for a few
// seconds, and is taken from the latest holder of the task's lease alone (Taker).
//
// Nothing here has a clock or does I/O. docs/OVERLOAD.md describes it for operators.
package overload

import (
	"time"
)

// LeaseName is the lease of the task, and RecordKey the record that says where it listens.
const (
	LeaseName = "overload"
	RecordKey = "overload"
)

const (
	// ReportInterval is how often a sidecar tells, and the task answers: a queue of servers takes
	// about as long to come and go.
	ReportInterval = time.Second
	// AdviceTTL is how long advice counts: two answers may be lost.
	AdviceTTL = 3 * time.Second
	// Most bounds: a digest and an answer are read whole.
	MaxTenants      = 64
	MaxSidecars     = 4096
	MaxMessageBytes = 16 << 10
	maxNameLength   = 128

	// targetCongestion is the jam that the task keeps the fleet at: servers have work for every
	// moment, and what they answer is in time still. Sidecars shed by themselves above it.
	targetCongestion = 0.15
	// correctionGain is how much of a deviation from it one answer corrects: it shows after a queue's
	// time only, and a whole correction each second would swing. A queue is drained with
	// minCorrection of what servers bear at least.
	correctionGain, minCorrection = 0.5, 0.9
	// What servers bear is followed down by capacityDecay a second while they jam, as when some are
	// lost, and up by capacityGrowth while they do not, until all that is asked goes through.
	capacityDecay, capacityGrowth = 0.97, 1.05
	// overQuotaFactor is how many times the part of its share a tenant's part of all that is asked
	// has to be for the task to cut it.
	overQuotaFactor = 1.5
	// unlimitedFactor is how far above all that is asked a limit has to be to be none.
	unlimitedFactor = 1.2
	// minAdmitFraction is what each tenant may try whatever it asks: who is shut out altogether
	// never shows that it has become less.
	minAdmitFraction = 0.01
	// minResponseRate are too few a second to tell anything.
	minResponseRate = 5
)

// Path is where the task takes digests (POST) and tells its word (GET).
const Path = "/overload"
