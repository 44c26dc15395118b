package sidecar

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"barleywick/policy"
)

// action is a kind of thing that the gate is asked about.
type action int

const (
	actionSend  action = iota // an attempt's first byte
	actionClose               // the end of a client's connection
	actionStart               // a probe
	actionCount               // how many there are
)

func (a action) String() string { return [actionCount]string{"send", "close", "start"}[a] }

// violation is a rule that was broken although the gate had been asked, or past it.
type violation int

const (
	// violationLateSend: an attempt's last byte went out after its end and the hold-up allowed for.
	violationLateSend violation = iota
	// violationUnanswered: a connection ended over a request that was read and has no answer.
	violationUnanswered
	// violationLateStop: a request was not answered when the process had to be done.
	violationLateStop
	violationCount // how many there are
)

func (v violation) String() string {
	return [violationCount]string{"attempt sent after its end", "closed over an unanswered request", "not done in time"}[v]
}

// stallAllowance is for how long the process may be held up between reading its clock and writing.
const stallAllowance = 150 * time.Millisecond

// Gate is asked in the moment before something is sent, closed or started. The decision is
// policy's; the Gate adds the time and the facts of the moment, counts what was decided, and checks
// after the act that it was in order. It is safe for concurrent use.
type Gate struct {
	startedAt        time.Time
	shutdownDeadline atomic.Int64 // since begin; policy.NoLimit while the process serves on
	lateFrom         atomic.Int64 // since begin: what comes from then on is bound to stopBy
	decided          [actionCount][policy.NumDenials]atomic.Uint64
	violations       [violationCount]atomic.Uint64
}

func New() *Gate {
	g := &Gate{startedAt: time.Now()}
	g.shutdownDeadline.Store(int64(policy.NoLimit))
	g.lateFrom.Store(int64(policy.NoLimit))
	return g
}

// SinceStart turns a moment into the gate's monotonic time; the zero time is no limit.
func (g *Gate) SinceStart(t time.Time) time.Duration {
	if t.IsZero() {
		return policy.NoLimit
	}
	return t.Sub(g.startedAt)
}

// lateRequestAfter is how long after the signal a request that comes has its client's whole time still:
// the platform's kill leaves it that. The platform's figure is 0.7 s, less for a late signal.
const lateRequestAfter = 500 * time.Millisecond

// Shutdown takes that the process was told to end just now, and is to be done within a time.
func (g *Gate) Shutdown(within time.Duration) {
	now := g.SinceStart(time.Now())
	g.lateFrom.Store(int64(now + lateRequestAfter))
	g.shutdownDeadline.Store(int64(now + within))
}

// DeadlineFor is by when a request that came at a time has to be answered for this process's end; the
// zero time: it has its client's time.
func (g *Gate) DeadlineFor(came time.Time) time.Time {
	if int64(g.SinceStart(came)) < g.lateFrom.Load() {
		return time.Time{}
	}
	return g.startedAt.Add(time.Duration(g.shutdownDeadline.Load()))
}

// CheckAnswered checks the answer to a request that has a bound.
func (g *Gate) CheckAnswered(stopBy, now time.Time, name string) {
	if !stopBy.IsZero() && now.Sub(stopBy) > stallAllowance {
		g.recordViolation(violationLateStop, name, policy.DeniedShutdown)
	}
}

// MaySend decides on an attempt by the facts given and the time of now.
func (g *Gate) MaySend(s policy.SendFacts, now time.Time) policy.Denial {
	s.Now = g.SinceStart(now)
	return g.record(actionSend, s.Decide())
}

// CheckSent checks an attempt after its last byte was handed to the kernel.
func (g *Gate) CheckSent(s policy.SendFacts, now time.Time, name string) {
	s.Now = g.SinceStart(now) - stallAllowance
	if d := s.Decide(); d != policy.Allowed {
		g.recordViolation(violationLateSend, name, d)
	}
}

// MayClose decides on the end of a client's connection.
func (g *Gate) MayClose(c policy.CloseFacts) policy.Denial { return g.record(actionClose, c.Decide()) }

// CheckClosed checks the end of a client's connection after it.
func (g *Gate) CheckClosed(c policy.CloseFacts, name string) {
	if d := c.Decide(); d != policy.Allowed {
		g.recordViolation(violationUnanswered, name, d)
	}
}

// MayStart decides on something that takes so long.
func (g *Gate) MayStart(takes time.Duration) policy.Denial {
	s := policy.StartFacts{Now: g.SinceStart(time.Now()), ShutdownDeadline: time.Duration(g.shutdownDeadline.Load()), MaxDuration: takes}
	return g.record(actionStart, s.Decide())
}

func (g *Gate) record(a action, d policy.Denial) policy.Denial {
	g.decided[a][d].Add(1)
	return d
}

// recordViolation counts a broken rule and says so.
func (g *Gate) recordViolation(v violation, name string, why policy.Denial) {
	g.violations[v].Add(1)
	slog.Error("rule violated", "rule", v, "of", name, "why", why)
}

// Counters are what the gate has decided so far; only what is not zero has an entry.
type Counters struct {
	Decided  map[string]uint64 // by act and denial
	Violated map[string]uint64 // by rule
}

func (g *Gate) Counters() Counters {
	c := Counters{Decided: make(map[string]uint64), Violated: make(map[string]uint64)}
	for a := range actionCount {
		for d := range policy.NumDenials {
			if n := g.decided[a][d].Load(); n > 0 {
				c.Decided[fmt.Sprintf("%v: %v", a, d)] = n
			}
		}
	}
	for v := range violationCount {
		if n := g.violations[v].Load(); n > 0 {
			c.Violated[v.String()] = n
		}
	}
	return c
}

// LogCounters logs them.
func (g *Gate) LogCounters() {
	c := g.Counters()
	slog.Info("gate", "decided", c.Decided, "violated", c.Violated)
}
