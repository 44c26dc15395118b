package sidecar

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"barleywick/internal/sidecar/gate"
)

// phase is how far a sidecar is in its life. Its log and /health/ready tell.
type phase int32

const (
	// phaseStarting: it listens, and holds no list yet.
	phaseStarting phase = iota
	// phaseServing: it is ready.
	phaseServing
	// phaseDraining: it was told to end. It is not ready, closes idle connections, tells
	// the others to close with their answers, and still takes connections, as some
	// are on their way.
	phaseDraining
	// phaseFinishing: it takes no connection any more and answers what it has.
	phaseFinishing
	// phaseEnded: every connection has ended.
	phaseEnded
	// phaseWithoutPolicy: it has nothing to act by, as the fleet's policy has it, and refuses
	// new requests.
	phaseWithoutPolicy
)

func (p phase) String() string {
	return [...]string{"starting", "serving", "draining", "finishing", "ended", "without a policy"}[p]
}

// lateArrivalTime is how long connections still come after a planned restart was
// announced: the protocol says 0.4 s, and half as much again is for those that wait
// to be accepted by then. What comes after 0.7 s and is not answered is lost, so the
// listener has to be closed before.
const lateArrivalTime = 600 * time.Millisecond

// gracefulShutdown takes a sidecar through its planned end, phase by phase. It ends as soon as all that was
// taken is answered and no more can come. The platform kills the process some time after the
// signal: everything that is begun from then on, and every span that runs, ends before that.
type gracefulShutdown struct {
	listener     *limitedListener
	gate         *gate.Gate
	timeout      time.Duration // from the signal until the process has to have answered everything
	begunAt      time.Time
	arrivalsOver chan struct{} // closed when no connection comes any more
	current      atomic.Int32
	signalled    atomic.Bool // there is a time by which the process has to be done
}

func newGracefulShutdown(l *limitedListener, g *gate.Gate, within time.Duration) *gracefulShutdown {
	d := &gracefulShutdown{listener: l, gate: g, timeout: within, arrivalsOver: make(chan struct{})}
	d.current.Store(int32(phaseServing))
	return d
}

func (d *gracefulShutdown) phase() phase { return phase(d.current.Load()) }

func (d *gracefulShutdown) enter(p phase) {
	d.current.Store(int32(p))
	slog.Info(p.String(), "connections", d.listener.openConns(), "after", time.Since(d.begunAt).Round(time.Millisecond))
}

// begin starts the end.
func (d *gracefulShutdown) begin() {
	if !d.signalled.CompareAndSwap(false, true) {
		return
	}
	d.gate.Shutdown(d.timeout)
	slog.Info("told to end", "answered_within", d.timeout)
	time.AfterFunc(d.timeout, d.listener.closeUnused)
	if d.phase() != phaseServing {
		return // a new process has its place already
	}
	d.begunAt = time.Now()
	d.listener.drain() // none that is idle may get a request after the listener has gone
	d.enter(phaseDraining)
	time.AfterFunc(lateArrivalTime, func() { close(d.arrivalsOver) })
}

// handOver starts the end where a new process takes all that comes from now on: there
// is nothing to wait for but what was taken.
func (d *gracefulShutdown) handOver() error {
	d.begunAt = time.Now()
	d.listener.drain()
	return d.stopAccepting()
}

// stopAccepting takes no connection from now on.
func (d *gracefulShutdown) stopAccepting() error {
	if err := d.listener.stopAccepting(); err != nil {
		return fmt.Errorf("stop listening: %w", err)
	}
	d.enter(phaseFinishing)
	return nil
}

// phaseDue has a value, or is closed, when the next phase is to begin.
func (d *gracefulShutdown) phaseDue() <-chan struct{} {
	switch d.phase() {
	case phaseDraining:
		return d.arrivalsOver
	case phaseFinishing:
		return d.listener.allEnded
	}
	return nil
}

// advance begins the phase that is due, and says whether that was the last.
func (d *gracefulShutdown) advance() (done bool, err error) {
	if d.phase() == phaseDraining {
		d.listener.acceptBacklog()
		return false, d.stopAccepting()
	}
	d.enter(phaseEnded)
	return true, nil
}
