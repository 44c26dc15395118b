// Package gate decides in the moment of the act whether an attempt may be sent, a client connection
// closed, or something new started. The rules are package policy's; the gate adds the clock, counts
// each decision, and checks after the act that it was in order.
package gate

import (
	"log/slog"
	"sync/atomic"
	"time"

	"barleywick/internal/mutation"
	"barleywick/policy"
)

// action is a kind of act that the gate decides on.
type action int

const (
	actionSend  action = iota // the first byte of an attempt
	actionClose               // the close of a client connection
	actionStart               // a probe
	actionCount
)

// String is part of a metric's label: see Counters.
func (a action) String() string { return [actionCount]string{"send", "close", "start"}[a] }

// violation is a rule that was broken although the gate had allowed the act, or without asking it.
type violation int

const (
	// violationLateSend: the last byte of an attempt went out after its deadline and stallAllowance.
	violationLateSend violation = iota
	// violationUnanswered: a connection was closed over a request that was read and not answered.
	violationUnanswered
	// violationLateShutdown: a request was answered after the shutdown deadline and stallAllowance.
	violationLateShutdown
	violationCount
)

// String is a metric's label and the attribute "rule" of the log line.
func (v violation) String() string {
	return [violationCount]string{"attempt sent after its end", "closed over an unanswered request", "not done in time"}[v]
}

const (
	// stallAllowance is how long the process may be stalled between reading the clock and writing.
	stallAllowance = 150 * time.Millisecond
	// lateRequestAfter: a request that arrives this long after the shutdown signal is bound to the
	// shutdown deadline. The platform kills the process 0.7 s after the longest client deadline,
	// counted from the signal, so an earlier request is left its client's whole time.
	lateRequestAfter = 500 * time.Millisecond
)

// Gate decides on acts and counts its decisions. It is safe for concurrent use.
type Gate struct {
	startedAt        time.Time
	shutdownDeadline atomic.Int64 // since startedAt; policy.NoLimit until Shutdown
	lateFrom         atomic.Int64 // since startedAt; later requests are bound to shutdownDeadline
	decided          [actionCount][policy.NumDenials]atomic.Uint64
	violations       [violationCount]atomic.Uint64
}

// New returns a gate whose clock starts now.
func New() *Gate {
	g := &Gate{startedAt: time.Now()}
	g.shutdownDeadline.Store(int64(policy.NoLimit))
	g.lateFrom.Store(int64(policy.NoLimit))
	return g
}

// SinceStart converts t to the monotonic time that policy decides by; the zero time is no limit.
func (g *Gate) SinceStart(t time.Time) time.Duration {
	if t.IsZero() {
		return policy.NoLimit
	}
	return t.Sub(g.startedAt)
}

// Shutdown records that the process was told to end now and has to be done within timeout.
func (g *Gate) Shutdown(timeout time.Duration) {
	if mutation.IgnoreShutdownDeadline {
		return
	}
	now := g.SinceStart(time.Now())
	g.lateFrom.Store(int64(now + lateRequestAfter))
	g.shutdownDeadline.Store(int64(now + timeout))
}

// DeadlineFor returns the time by which this process has to answer a request that arrived at
// arrival, or the zero time if only its client's deadline counts.
func (g *Gate) DeadlineFor(arrival time.Time) time.Time {
	if int64(g.SinceStart(arrival)) < g.lateFrom.Load() {
		return time.Time{}
	}
	return g.startedAt.Add(time.Duration(g.shutdownDeadline.Load()))
}

// CheckAnswered checks that a request was answered by deadline, which DeadlineFor returned.
func (g *Gate) CheckAnswered(deadline, now time.Time, requestID string) {
	if !deadline.IsZero() && now.Sub(deadline) > stallAllowance {
		g.recordViolation(violationLateShutdown, requestID, policy.DeniedShutdown)
	}
}

// MaySend decides whether an attempt may be sent now, on the facts given.
func (g *Gate) MaySend(facts policy.SendFacts, now time.Time) policy.Denial {
	facts.Now = g.SinceStart(now)
	if mutation.SkipSendGate {
		return policy.Allowed
	}
	return g.record(actionSend, facts.Decide())
}

// CheckSent checks an attempt whose last byte was handed to the kernel at now.
func (g *Gate) CheckSent(facts policy.SendFacts, now time.Time, requestID string) {
	facts.Now = g.SinceStart(now) - stallAllowance
	if denial := facts.Decide(); denial != policy.Allowed {
		g.recordViolation(violationLateSend, requestID, denial)
	}
}

// MayClose decides whether a client connection may be closed.
func (g *Gate) MayClose(facts policy.CloseFacts) policy.Denial {
	if mutation.SkipCloseGate {
		return policy.Allowed
	}
	return g.record(actionClose, facts.Decide())
}

// CheckClosed checks a client connection that was closed.
func (g *Gate) CheckClosed(facts policy.CloseFacts, client string) {
	if denial := facts.Decide(); denial != policy.Allowed {
		g.recordViolation(violationUnanswered, client, denial)
	}
}

// MayStart decides whether something that takes up to maxDuration may be started now.
func (g *Gate) MayStart(maxDuration time.Duration) policy.Denial {
	facts := policy.StartFacts{
		Now: g.SinceStart(time.Now()), ShutdownDeadline: time.Duration(g.shutdownDeadline.Load()), MaxDuration: maxDuration,
	}
	return g.record(actionStart, facts.Decide())
}

func (g *Gate) record(a action, denial policy.Denial) policy.Denial {
	g.decided[a][denial].Add(1)
	return denial
}

// recordViolation counts and logs a broken rule. of is the request or the client that it concerns.
func (g *Gate) recordViolation(v violation, of string, denial policy.Denial) {
	g.violations[v].Add(1)
	slog.Error("gate: rule violated", "rule", v.String(), "of", of, "why", denial.String())
}
