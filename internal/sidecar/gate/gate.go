// Package gate decides, immediately before the operation, whether an attempt may be sent, a client
// connection closed, or a probe started. The rules are in package policy. The gate supplies the current
// time, counts each decision, and checks after the operation that the rules were kept.
package gate

import (
	"log/slog"
	"sync/atomic"
	"time"

	"barleywick/internal/mutation"
	"barleywick/policy"
)

// action is a kind of operation that the gate allows or denies.
type action int

const (
	actionSend  action = iota // the first byte of an attempt
	actionClose               // the close of a client connection
	actionStart               // a probe
	actionCount
)

// String returns the text that is used in a metric label: see Counters.
func (a action) String() string { return [actionCount]string{"send", "close", "start"}[a] }

// violation is a rule that was broken even though the gate allowed the operation, or because the
// operation bypassed the gate.
type violation int

const (
	// violationLateSend: the last byte of an attempt was written later than stallAllowance after its deadline.
	violationLateSend violation = iota
	// violationUnanswered: a client connection was closed while a request that had been read was unanswered.
	violationUnanswered
	// violationLateShutdown: a request was answered later than stallAllowance after the shutdown deadline.
	violationLateShutdown
	violationCount
)

// String returns the metric label value, which is also the attribute "rule" of the log line.
func (v violation) String() string {
	return [violationCount]string{"attempt sent after its end", "closed over an unanswered request", "not done in time"}[v]
}

const (
	// stallAllowance is the longest tolerated stall of the process between reading the clock and writing.
	stallAllowance = 150 * time.Millisecond
	// lateRequestAfter is the time after the shutdown signal from which arriving requests are subject to
	// the shutdown deadline. The platform kills the process 0.7 s after the longest client deadline,
	// counted from the signal, so earlier requests can use their whole client deadline.
	lateRequestAfter = 500 * time.Millisecond
)

// Gate allows or denies operations and counts its decisions. It is safe for concurrent use.
type Gate struct {
	startedAt        time.Time
	shutdownDeadline atomic.Int64 // since startedAt; policy.NoLimit until Shutdown
	lateRequestsFrom atomic.Int64 // since startedAt; requests that arrive later are subject to shutdownDeadline
	decided          [actionCount][policy.NumDenials]atomic.Uint64
	violations       [violationCount]atomic.Uint64
}

// New returns a gate whose clock starts now.
func New() *Gate {
	g := &Gate{startedAt: time.Now()}
	g.shutdownDeadline.Store(int64(policy.NoLimit))
	g.lateRequestsFrom.Store(int64(policy.NoLimit))
	return g
}

// SinceStart converts t to the monotonic time that package policy uses; the zero time becomes NoLimit.
func (g *Gate) SinceStart(t time.Time) time.Duration {
	if t.IsZero() {
		return policy.NoLimit
	}
	return t.Sub(g.startedAt)
}

// Shutdown records that the process received the shutdown signal and must finish within timeout.
func (g *Gate) Shutdown(timeout time.Duration) {
	if mutation.IgnoreShutdownDeadline {
		return
	}
	now := g.SinceStart(time.Now())
	g.lateRequestsFrom.Store(int64(now + lateRequestAfter))
	g.shutdownDeadline.Store(int64(now + timeout))
}

// DeadlineFor returns the shutdown deadline for a request that arrived at arrival, or the zero time if
// only the client's deadline applies.
func (g *Gate) DeadlineFor(arrival time.Time) time.Time {
	if int64(g.SinceStart(arrival)) < g.lateRequestsFrom.Load() {
		return time.Time{}
	}
	return g.startedAt.Add(time.Duration(g.shutdownDeadline.Load()))
}

// CheckAnswered records a violation if a request was answered too late for deadline, a result of DeadlineFor.
func (g *Gate) CheckAnswered(deadline, now time.Time, requestID string) {
	if !deadline.IsZero() && now.Sub(deadline) > stallAllowance {
		g.recordViolation(violationLateShutdown, requestID, policy.DeniedShutdown)
	}
}

// MaySend decides from the facts whether an attempt may be sent now.
func (g *Gate) MaySend(facts policy.SendFacts, now time.Time) policy.Denial {
	facts.Now = g.SinceStart(now)
	if mutation.SkipSendGate {
		return policy.Allowed
	}
	return g.record(actionSend, facts.Decide())
}

// CheckSent records a violation if the facts do not allow an attempt whose last byte was handed to the
// kernel at now. stallAllowance is deducted from now.
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

// CheckClosed records a violation if the facts do not allow the close of a client connection.
func (g *Gate) CheckClosed(facts policy.CloseFacts, client string) {
	if denial := facts.Decide(); denial != policy.Allowed {
		g.recordViolation(violationUnanswered, client, denial)
	}
}

// MayStart decides whether a probe that takes up to maxDuration may be started now.
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

// recordViolation counts and logs a violation. subject identifies the request or the client concerned.
func (g *Gate) recordViolation(v violation, subject string, denial policy.Denial) {
	g.violations[v].Add(1)
	slog.Error("gate: rule violated", "rule", v.String(), "of", subject, "why", denial.String())
}
