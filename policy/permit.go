package policy

import (
	"math"
	"time"
)

// Permits are the one place that decides whether something may be done now: whether an attempt may
// be sent or repeated, a connection closed, or something new started. The Balancer asks when it
// chooses, and the program that embeds it asks again in the moment before it acts, with the time
// and the facts of that moment. Everything here is a pure function without I/O or a clock.

// NoLimit is a point in time that never comes.
const NoLimit = time.Duration(math.MaxInt64)

// Denial is the reason why something may not be done now.
type Denial int

// The denials. Allowed is the absence of one.
const (
	Allowed              Denial = iota
	DeniedAnswered              // the request has its answer
	DeniedClientGone            // the client has left
	DeniedDeadlinePassed        // the client's deadline has passed
	DeniedShutdown              // the process has to be done
	DeniedAttemptLimit          // the request has had all attempts, or one is in flight
	DeniedNotRepeatable         // it may have run, and its class allows no repetition
	DeniedRepeatWindow          // the window for repetitions has passed
	DeniedServerNotReady        // the server is draining or removed
	DeniedSlowStart             // the server is warming up and its budget is used up
	DeniedResponseOwed          // a response is owed on the connection
	NumDenials                  // number of denials, Allowed included
)

// denialTexts are labels of a metric and appear in logs.
var denialTexts = [NumDenials]string{
	Allowed:              "allowed",
	DeniedAnswered:       "answered",
	DeniedClientGone:     "client left",
	DeniedDeadlinePassed: "late",
	DeniedShutdown:       "stopping",
	DeniedAttemptLimit:   "attempts used up",
	DeniedNotRepeatable:  "may have run",
	DeniedRepeatWindow:   "window over",
	DeniedServerNotReady: "server drains or is gone",
	DeniedSlowStart:      "server is cold",
	DeniedResponseOwed:   "answer owed",
}

// String returns the denial's name in metrics and logs.
func (d Denial) String() string {
	if d < 0 || d >= NumDenials {
		return "unknown"
	}
	return denialTexts[d]
}

// SendFacts are the facts by which an attempt may be sent. Times are on one monotonic clock, and
// NoLimit stands for a bound that does not exist.
type SendFacts struct {
	Now              time.Duration
	ClientDeadline   time.Duration
	ShutdownDeadline time.Duration // when the process has to be done
	RepeatDeadline   time.Duration // until when a request that may have run may be repeated

	Answered           bool
	ClientGone         bool
	ServerState        EndpointState
	SlowStartExhausted bool // the server is warming up and its budget is used up
	Attempts           int  // so far
	MaxAttempts        int  // 0: not limited here
	InFlight           int  // attempts that have not ended
	MayHaveRun         bool // an earlier attempt may have run
	Repeatable         bool // the class allows a repetition at this server
}

// Decide says whether the attempt may be sent.
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

// CloseFacts are the facts by which a client's connection may be closed.
type CloseFacts struct {
	InProgress  bool // a request of the connection is being served
	RequestRead bool // a part of a request was read that has no response
	Answered    bool // the sidecar's own response, a refusal, is sent before the close
}

// Decide says whether the connection may be closed. A response is owed to what was read. A client
// sends again what was not read.
func (f CloseFacts) Decide() Denial {
	if f.InProgress || f.RequestRead && !f.Answered {
		return DeniedResponseOwed
	}
	return Allowed
}

// StartFacts are the facts by which something new may be started that takes time: a handshake, a
// probe or the wait for a request.
type StartFacts struct {
	Now              time.Duration
	ShutdownDeadline time.Duration // when the process has to be done
	MaxDuration      time.Duration
}

// Decide says whether it may be started.
func (f StartFacts) Decide() Denial {
	if f.ShutdownDeadline != NoLimit && f.Now+f.MaxDuration > f.ShutdownDeadline {
		return DeniedShutdown
	}
	return Allowed
}

// Planned ends: the platform kills a process no sooner than the longest deadline of a class, of which
// it counts at most maxCountedDeadline, and killDelay after it has told the process to end.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// killMargin is kept to the kill, for a signal that is handled late, a process that is delayed by
	// 0.15 s while it responds, and the responses' way.
	killMargin = 250 * time.Millisecond
	// repeatMargin is kept to the end of the window for repetitions, for the same delay and the way to
	// the server.
	repeatMargin = 200 * time.Millisecond
)

// ShutdownTimeout is how long after the signal to end a process has to have answered everything.
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
