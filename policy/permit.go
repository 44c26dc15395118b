package policy

import (
	"math"
	"time"
)

// Permits: only the Decide methods in this file decide whether an action is permitted now: sending or
// repeating an attempt, closing a connection, or starting an operation that takes time. The Balancer checks
// when it selects a server, and the embedding program checks again immediately before it acts, with the time
// and the facts at that moment. All functions here are pure, without I/O or a clock.

// NoLimit is the value of a deadline that does not exist.
const NoLimit = time.Duration(math.MaxInt64)

// Denial is the reason why an action is not permitted now.
type Denial int

// The denials. Allowed means that the action is permitted.
const (
	Allowed                   Denial = iota
	DeniedAnswered                   // the request has been answered
	DeniedClientGone                 // the client has disconnected
	DeniedDeadlinePassed             // the client's deadline has passed
	DeniedShutdown                   // the shutdown deadline of the process has passed or is too close
	DeniedAttemptLimit               // the attempts are used up, or one is in flight
	DeniedNotRepeatable              // the request may have run, and its class does not permit a repetition
	DeniedRepeatWindow               // the deduplication window has passed
	DeniedServerNotReady             // the server is draining or removed
	DeniedSlowStart                  // the server is warming up and its slow start budget is used up
	DeniedResponseOutstanding        // a response is outstanding on the connection
	NumDenials                       // number of denials, Allowed included
)

// denialTexts are metric labels and appear in logs.
var denialTexts = [NumDenials]string{
	Allowed:                   "allowed",
	DeniedAnswered:            "answered",
	DeniedClientGone:          "client left",
	DeniedDeadlinePassed:      "late",
	DeniedShutdown:            "stopping",
	DeniedAttemptLimit:        "attempts used up",
	DeniedNotRepeatable:       "may have run",
	DeniedRepeatWindow:        "window over",
	DeniedServerNotReady:      "server drains or is gone",
	DeniedSlowStart:           "server is cold",
	DeniedResponseOutstanding: "answer owed",
}

// String returns the denial's text in metrics and logs.
func (d Denial) String() string {
	if d < 0 || d >= NumDenials {
		return "unknown"
	}
	return denialTexts[d]
}

// SendFacts are the facts that determine whether an attempt may be sent. All times are of the same monotonic
// clock; a deadline that does not exist is NoLimit.
type SendFacts struct {
	Now              time.Duration
	ClientDeadline   time.Duration
	ShutdownDeadline time.Duration // when the process must have finished
	RepeatDeadline   time.Duration // when a request that may have run must not be repeated any more

	Answered           bool
	ClientGone         bool
	ServerState        EndpointState
	SlowStartExhausted bool // the server is warming up and its slow start budget is used up
	Attempts           int  // number of attempts so far
	MaxAttempts        int  // 0: not checked
	InFlight           int  // attempts that have not ended
	MayHaveRun         bool // an earlier attempt may have run
	Repeatable         bool // the class permits a repetition at this server
}

// Decide returns Allowed if the attempt may be sent, and otherwise the first applicable denial.
func (f SendFacts) Decide() Denial {
	switch {
	case f.Answered:
		return DeniedAnswered
	case f.ClientGone:
		return DeniedClientGone
	case f.Now >= f.ClientDeadline:
		return DeniedDeadlinePassed
	case f.Now >= f.ShutdownDeadline:
		return DeniedShutdown
	case f.MaxAttempts > 0 && f.Attempts >= f.MaxAttempts || f.InFlight > 0:
		return DeniedAttemptLimit
	case f.MayHaveRun && !f.Repeatable:
		return DeniedNotRepeatable
	case f.MayHaveRun && f.Now >= f.RepeatDeadline:
		return DeniedRepeatWindow
	case f.ServerState != Ready:
		return DeniedServerNotReady
	case f.SlowStartExhausted:
		return DeniedSlowStart
	}
	return Allowed
}

// CloseFacts are the facts that determine whether a client's connection may be closed.
type CloseFacts struct {
	InProgress  bool // a request on the connection is being served
	RequestRead bool // a request without a response was read, at least in part
	Answered    bool // the sidecar's own response, a refusal, is sent before closing
}

// Decide returns Allowed if the connection may be closed. A request that was read, even in part, needs a
// response; clients resend requests that were not read.
func (f CloseFacts) Decide() Denial {
	if f.InProgress || f.RequestRead && !f.Answered {
		return DeniedResponseOutstanding
	}
	return Allowed
}

// StartFacts are the facts that determine whether an operation that takes time may be started: a handshake, a
// probe or the wait for a request.
type StartFacts struct {
	Now              time.Duration
	ShutdownDeadline time.Duration // when the process must have finished
	MaxDuration      time.Duration
}

// Decide returns Allowed if the operation would end before the shutdown deadline.
func (f StartFacts) Decide() Denial {
	if f.ShutdownDeadline != NoLimit && f.Now+f.MaxDuration > f.ShutdownDeadline {
		return DeniedShutdown
	}
	return Allowed
}

// Planned shutdowns: the platform kills a process no earlier than the longest deadline of a class, limited to
// maxCountedDeadline, plus killDelay after it has sent the termination signal.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// killMargin is the time reserved before the kill for late handling of the signal, a delay of the process
	// of 0.15 s while it responds, and the network latency of the responses.
	killMargin = 250 * time.Millisecond
	// repeatMargin is the time reserved before the end of the deduplication window for the same delay and the
	// network latency to the server.
	repeatMargin = 200 * time.Millisecond
)

// ShutdownTimeout returns the time after the termination signal within which a process must have answered all
// requests.
func ShutdownTimeout(classes []Class) time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	if longest == 0 {
		longest = maxCountedDeadline
	}
	return min(longest, maxCountedDeadline) + killDelay - killMargin
}
