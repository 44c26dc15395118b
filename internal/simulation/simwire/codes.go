// Package simwire speaks the simulator's binary protocol: frames, records,
// server lists and the settings that come with each instance.
package simwire

import (
	"time"
)

// Event codes.
const (
	EventCheckResult  = 1000
	EventManifest     = 1010
	EventCrashNow     = 1020
	EventHeaders      = 1030
	EventHeard        = 1040
	EventFleet        = 1050
	EventFinished     = 1060
	EventWake         = 1070
	EventAsk          = 1080
	EventClientLeft   = 1090
	EventOpenInstance = 1100
)

// Action codes.
const (
	ActionCallOut  = 1000
	ActionPushBack = 1010
	ActionLose     = 1020
	ActionRecall   = 1030
	ActionSetAlarm = 1040
	ActionInspect  = 1050
	ActionWriteLog = 1080
	ActionDie      = 1090
	ActionTail     = 1100
)

// Outcome codes.
const (
	OutcomeServed       = 100
	OutcomeErrored      = 301
	OutcomeRejected     = 302
	OutcomeTimedOut     = 303
	OutcomeNoConnection = 304
	OutcomeBroken       = 305
	OutcomeCancelled    = 306
	OutcomeNotSent      = 307
)

// Kinds of a Fleet event.
const (
	FleetFull   = 1
	FleetDelta  = 2
	FleetCached = 3
	FleetFailed = 4
)

// Bits of an Ask event.
const (
	AskBitHint   = 1
	AskBitRepeat = 2
)

// States of a list entry.
const (
	StatusGone     = 0
	StatusReady    = 1
	StatusDraining = 2
)

const (
	batchHeaderSize  = 20
	replyHeaderSize  = 12
	recordHeaderSize = 6
	entrySize        = 23
	// maxFrameSize bounds what one frame may claim to hold. Real batches run to
	// megabytes; a claim beyond this is a broken stream, not a batch.
	maxFrameSize = 1 << 28
	// readChunk is how much of a claimed length is taken on trust at a time.
	readChunk = 1 << 20
)

// ToMillis is the inverse of settings.Millis.
func ToMillis(d time.Duration) float64 { return float64(d) / 1e6 }
