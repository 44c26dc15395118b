package sidecar

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"barleywick/internal/mutation"
	"barleywick/internal/sidecar/gate"
)

// phase is a phase of a sidecar's life cycle. /health/ready responds with it, and members gossip it.
type phase int32

const (
	// phaseStarting: the sidecar listens, but has no endpoint list yet.
	phaseStarting phase = iota
	// phaseServing: the sidecar is ready.
	phaseServing
	// phaseDraining: a shutdown was requested. The sidecar is not ready. It closes idle connections now,
	// and others with their responses. It still accepts connections, as some are in transit.
	phaseDraining
	// phaseFinishing: the sidecar accepts no more connections, and answers its remaining requests.
	phaseFinishing
	// phaseEnded: all connections have ended.
	phaseEnded
	// phaseWithoutPolicy: the sidecar requires a fleet policy and has none in effect. It refuses new
	// requests.
	phaseWithoutPolicy
)

// String returns the name under which the phase is served, gossiped and logged.
func (p phase) String() string {
	return [...]string{"starting", "serving", "draining", "finishing", "ended", "without a policy"}[p]
}

// lateArrivalTime is how long connections may still arrive after the start of a graceful shutdown. The
// protocol allows 0.4 s; another 0.2 s are for connections that then wait to be accepted. A connection
// that arrives after 0.7 s and gets no response counts as lost, so the listener must be closed earlier.
const lateArrivalTime = 600 * time.Millisecond

// gracefulShutdown shuts a sidecar down phase by phase. It ends as soon as all requests are answered and no
// more can arrive. The platform kills the process some time after the signal: everything that starts
// after the signal must end before that.
type gracefulShutdown struct {
	listener     *limitedListener
	gate         *gate.Gate
	timeout      time.Duration // from the signal to the deadline for answering all requests
	startedAt    time.Time
	arrivalsOver chan struct{} // closed lateArrivalTime after the start
	currentPhase atomic.Int32  // a phase
	signalled    atomic.Bool   // start was called
}

func newGracefulShutdown(l *limitedListener, g *gate.Gate, timeout time.Duration) *gracefulShutdown {
	s := &gracefulShutdown{listener: l, gate: g, timeout: timeout, arrivalsOver: make(chan struct{})}
	s.currentPhase.Store(int32(phaseServing))
	return s
}

func (s *gracefulShutdown) phase() phase { return phase(s.currentPhase.Load()) }

// enterPhase begins a phase. The log event is only the phase's name, which tools and operators search for.
func (s *gracefulShutdown) enterPhase(p phase) {
	s.currentPhase.Store(int32(p))
	slog.Info(p.String(), "connections", s.listener.openConns(), "after", time.Since(s.startedAt).Round(time.Millisecond))
}

// start starts the shutdown; the service calls it at the signal. Further calls do nothing.
func (s *gracefulShutdown) start() {
	if !s.signalled.CompareAndSwap(false, true) {
		return
	}
	s.gate.Shutdown(s.timeout)
	slog.Info("drain: shutdown requested", "answered_within", s.timeout)
	if !mutation.SkipCloseUnused {
		time.AfterFunc(s.timeout, s.listener.closeUnused)
	}
	if s.phase() != phaseServing {
		return // handOver has already started it
	}
	s.startedAt = time.Now()
	if !mutation.KeepIdleAtShutdown {
		s.listener.drain() // before the listener is closed: after that no request may arrive on an idle connection
	}
	s.enterPhase(phaseDraining)
	time.AfterFunc(lateArrivalTime, func() { close(s.arrivalsOver) })
}

// handOver starts the shutdown when a successor has taken over the listening socket.
func (s *gracefulShutdown) handOver() error {
	s.startedAt = time.Now()
	s.listener.drain()
	return s.stopAccepting()
}

// stopAccepting closes the listening socket.
func (s *gracefulShutdown) stopAccepting() error {
	if err := s.listener.stopAccepting(); err != nil {
		return fmt.Errorf("close listening socket: %w", err)
	}
	s.enterPhase(phaseFinishing)
	return nil
}

// phaseDue returns a channel that is closed when advance is due.
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
	s.enterPhase(phaseEnded)
	return true, nil
}
