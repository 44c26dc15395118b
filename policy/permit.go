package policy

import (
	"math"
	"time"
)

// Permits are the one place that decides whether something may be done now: whether an attempt
// may be sent or repeated, a connection closed, or something new started. The Balancer asks as it
// chooses, the program that embeds it asks again in the moment before it acts, with the time and
// the facts of that moment. Everything here is a pure function: no I/O and no clock.

// NoLimit is a point in time that never comes.
const NoLimit = time.Duration(math.MaxInt64)

// Denial says why something may not be done now.
type Denial int

// The denials. Allowed is none.
const (
	Allowed              Denial = iota
	DeniedAnswered              // the request has its answer already
	DeniedClientGone            // its client has left
	DeniedDeadlinePassed        // its client's time is over
	DeniedShutdown              // the process has to be done
	DeniedAttemptLimit          // it has had all attempts, or one is still out
	DeniedNotRepeatable         // it may have run, and its class allows no repeat
	DeniedRepeatWindow          // the time in which it may be repeated is over
	DeniedServerNotReady        // the server drains or has left the list
	DeniedSlowStart             // the server is cold and its budget is used up
	DeniedResponseOwed          // an answer is owed on the connection
	NumDenials                  // how many there are
)

func (d Denial) String() string {
	names := [NumDenials]string{
		"allowed", "answered", "client left", "late", "stopping", "attempts used up", "may have run", "window over",
		"server drains or is gone", "server is cold", "answer owed",
	}
	if d < 0 || d >= NumDenials {
		return "unknown"
	}
	return names[d]
}

// SendFacts is what is known as an attempt is to be sent. Times are on one monotonic clock; NoLimit
// stands for a bound that does not exist.
type SendFacts struct {
	Now              time.Duration
	ClientDeadline   time.Duration // the client waits until then
	ShutdownDeadline time.Duration // the process has to be done by then
	RepeatDeadline   time.Duration // what may have run may be repeated until then

	Answered           bool
	ClientGone         bool
	ServerState        EndpointState
	SlowStartExhausted bool // the server is cold and has nothing left of its budget
	Attempts           int  // so far
	MaxAttempts        int  // allowed; 0: not limited here
	InFlight           int  // attempts that have not ended
	MayHaveRun         bool // an earlier attempt may have run
	Repeatable         bool // and the class allows another one at this server
}

// Decide says whether the attempt may be sent.
func (s SendFacts) Decide() Denial {
	switch {
	case s.Answered:
		return DeniedAnswered
	case s.ClientGone:
		return DeniedClientGone
	case s.Now >= s.ClientDeadline:
		return DeniedDeadlinePassed
	case s.Now >= s.ShutdownDeadline:
		return DeniedShutdown
	case s.MaxAttempts > 0 && s.Attempts >= s.MaxAttempts || s.InFlight > 0:
		return DeniedAttemptLimit
	case s.MayHaveRun && !s.Repeatable:
		return DeniedNotRepeatable
	case s.MayHaveRun && s.Now >= s.RepeatDeadline:
		return DeniedRepeatWindow
	case s.ServerState != Ready:
		return DeniedServerNotReady
	case s.SlowStartExhausted:
		return DeniedSlowStart
	}
	return Allowed
}

// CloseFacts is what is known as a client's connection is to be closed.
type CloseFacts struct {
	InProgress  bool // a request of it is in work
	RequestRead bool // something of a request was read that has no answer
	Answered    bool // an answer of our own, a refusal, goes out before the close
}

// Decide says whether the connection may be closed. What was read is owed an answer; what was
// not read its client sends again.
func (c CloseFacts) Decide() Denial {
	if c.InProgress || c.RequestRead && !c.Answered {
		return DeniedResponseOwed
	}
	return Allowed
}

// StartFacts is what is known as something new is to be started that takes time: a handshake, a
// probe, the wait for a request.
type StartFacts struct {
	Now              time.Duration
	ShutdownDeadline time.Duration // the process has to be done by then
	MaxDuration      time.Duration // it takes at most so long
}

// Decide says whether it may be started.
func (s StartFacts) Decide() Denial {
	if s.ShutdownDeadline != NoLimit && s.Now+s.MaxDuration > s.ShutdownDeadline {
		return DeniedShutdown
	}
	return Allowed
}

// Planned ends: the platform kills a process no sooner than the longest deadline, counted as
// maxCountedDeadline where it is longer, and killDelay after it has told the process to end.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// killMargin is kept to the kill: for a signal that is handled late, a process that is held
	// up for 0.15 s as it answers, and the answers' way.
	killMargin = 250 * time.Millisecond
	// repeatMargin is kept to the end of the time in which a request may be repeated, for the same
	// hold-up and the way to the server.
	repeatMargin = 200 * time.Millisecond
)

// ShutdownTimeout is in which time after it is told to end a process has to have answered everything.
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
