// Package simwire implements the simulator's binary protocol: frames, the records in them, and the
// endpoint lists. The simulator sends batches of events and gets a reply with actions to each.
//
// Events, actions and their fields are named as in the protocol's description; package simadapter
// translates them to the terms of package policy.
package simwire

import "time"

// Event codes.
const (
	EventCheckResult  = 1000 // the result of a probe
	EventManifest     = 1010 // a numbered endpoint list
	EventCrashNow     = 1020 // the end of an instance
	EventHeaders      = 1030 // a response has started to stream
	EventHeard        = 1040 // a message from another instance
	EventFleet        = 1050 // a message about the endpoint list
	EventFinished     = 1060 // the end of an attempt
	EventWake         = 1070 // a timer is due
	EventAsk          = 1080 // a client's request
	EventClientLeft   = 1090 // a client has left
	EventOpenInstance = 1100 // the start of an instance
)

// Action codes.
const (
	ActionCallOut  = 1000 // start an attempt
	ActionPushBack = 1010 // refuse a request
	ActionLose     = 1020 // fail a request
	ActionRecall   = 1030 // cancel an attempt
	ActionSetAlarm = 1040 // set a timer
	ActionInspect  = 1050 // probe a server
	ActionWriteLog = 1080 // write a line for the report
	ActionDie      = 1090 // report that the decision code has failed
	ActionTail     = 1100 // subscribe to the endpoint list
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
	AskBitHint   = 1 // the Hint field is valid
	AskBitRepeat = 2 // the request is a retry by the client
)

// Status values of a list entry.
const (
	StatusGone     = 0
	StatusReady    = 1
	StatusDraining = 2
)

const (
	nanosInMilli = 1e6

	batchHeaderSize  = 20
	replyHeaderSize  = 12
	recordHeaderSize = 6
	entrySize        = 23
)

// ToMillis converts a duration to milliseconds. It is the inverse of settings.DurationFromMillis.
func ToMillis(d time.Duration) float64 { return float64(d) / nanosInMilli }
