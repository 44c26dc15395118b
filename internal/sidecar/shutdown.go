package sidecar

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"barleywick/internal/mutation"
	"barleywick/internal/sidecar/gate"
)

// phase is a phase of a sidecar's life. /health/ready answers with it, and members tell it each other.
type phase int32

const (
	// phaseStarting: it listens, and has no endpoint list yet.
	phaseStarting phase = iota
	// phaseServing: it is ready.
	phaseServing
	// phaseDraining: it was told to end. It is not ready and closes idle connections, and the others
	// with their responses. It still accepts connections, as some are on their way.
	phaseDraining
	// phaseFinishing: it accepts no connection any more and answers the requests that it has.
	phaseFinishing
	// phaseEnded: every connection has ended.
	phaseEnded
	// phaseWithoutPolicy: it has no fleet policy to act by, although it has to have one, and refuses
	// new requests.
	phaseWithoutPolicy
)

// String returns the phase as it is served, gossiped and logged.
func (p phase) String() string {
	return [...]string{"starting", "serving", "draining", "finishing", "ended", "without a policy"}[p]
}

// lateArrivalTime is how long connections may still arrive after a graceful shutdown was announced:
// the protocol says 0.4 s, and half of that again is for those that then wait to be accepted. A
// connection that arrives after 0.7 s and is not answered counts as lost, so the listener has to be
// closed before.
const lateArrivalTime = 600 * time.Millisecond

// gracefulShutdown ends a sidecar phase by phase. It is over as soon as every request is answered and
// no more can arrive. The platform kills the process some time after the signal: all that is started
// from the signal on ends before that.
type gracefulShutdown struct {
	listener     *limitedListener
	gate         *gate.Gate
	timeout      time.Duration // from the signal until every request has to be answered
	begunAt      time.Time
	arrivalsOver chan struct{} // closed when no connection arrives any more
	current      atomic.Int32  // phase
	signalled    atomic.Bool   // begin was called
}

func newGracefulShutdown(l *limitedListener, g *gate.Gate, timeout time.Duration) *gracefulShutdown {
	s := &gracefulShutdown{listener: l, gate: g, timeout: timeout, arrivalsOver: make(chan struct{})}
	s.current.Store(int32(phaseServing))
	return s
}

func (s *gracefulShutdown) phase() phase { return phase(s.current.Load()) }

// enter begins a phase. Its log line is the phase's name alone, as programs and people search for it.
func (s *gracefulShutdown) enter(p phase) {
	s.current.Store(int32(p))
	slog.Info(p.String(), "connections", s.listener.openConns(), "after", time.Since(s.begunAt).Round(time.Millisecond))
}

// begin starts the shutdown at the signal. Another call does nothing.
func (s *gracefulShutdown) begin() {
	if !s.signalled.CompareAndSwap(false, true) {
		return
	}
	s.gate.Shutdown(s.timeout)
	slog.Info("drain: shutdown requested", "answered_within", s.timeout)
	if !mutation.SkipCloseUnused {
		time.AfterFunc(s.timeout, s.listener.closeUnused)
	}
	if s.phase() != phaseServing {
		return // handOver was called before
	}
	s.begunAt = time.Now()
	if !mutation.KeepIdleAtShutdown {
		s.listener.drain() // before the listener is closed: no idle connection may get a request after that
	}
	s.enter(phaseDraining)
	time.AfterFunc(lateArrivalTime, func() { close(s.arrivalsOver) })
}

// handOver starts the shutdown when a new process accepts all connections from now on.
func (s *gracefulShutdown) handOver() error {
	s.begunAt = time.Now()
	s.listener.drain()
	return s.stopAccepting()
}

// stopAccepting closes the listening socket.
func (s *gracefulShutdown) stopAccepting() error {
	if err := s.listener.stopAccepting(); err != nil {
		return fmt.Errorf("stop listening: %w", err)
	}
	s.enter(phaseFinishing)
	return nil
}

// phaseDue returns a channel that is closed when advance is to be called.
func (s *gracefulShutdown) phaseDue() <-chan struct{} {
	switch s.phase() {
	case phaseDraining:
		return s.arrivalsOver
	case phaseFinishing:
		if mutation.EndBeforeAnswers {
			return s.arrivalsOver
		}
		return s.listener.allEnded
	}
	return nil
}

// advance enters the phase that is due, and reports whether it is the last one.
func (s *gracefulShutdown) advance() (ended bool, err error) {
	if s.phase() == phaseDraining {
		s.listener.acceptBacklog()
		return false, s.stopAccepting()
	}
	s.enter(phaseEnded)
	return true, nil
}
