package sidecar

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// phase is how far a sidecar is in its life. Its log and /health/ready tell.
type phase int32

const (
	// starting: it listens, and holds no list yet.
	starting phase = iota
	// serving: it is ready.
	serving
	// draining: it was told to end. It is not ready, closes idle connections, tells
	// the others to close with their answers, and still takes connections, as some
	// are on their way.
	draining
	// finishing: it takes no connection any more and answers what it has.
	finishing
	// over: every connection has ended.
	over
	// ungoverned: it has nothing to act by, as the fleet's policy has it, and refuses
	// new requests.
	ungoverned
)

func (p phase) String() string {
	return [...]string{"starting", "serving", "draining", "finishing", "ended", "without a policy"}[p]
}

// lastConnections is how long connections still come after a planned restart was
// announced: the protocol says 0.4 s, and half as much again is for those that wait
// to be accepted by then. What comes after 0.7 s and is not answered is lost, so the
// listener has to be closed before.
const lastConnections = 600 * time.Millisecond

// drain takes a sidecar through its planned end, phase by phase. It ends as soon as all that was
// taken is answered and no more can come. The platform kills the process some time after the
// signal: everything that is begun from then on, and every span that runs, ends before that.
type drain struct {
	listener *limitedListener
	gate     *gate
	within   time.Duration // from the signal until the process has to have answered everything
	begun    time.Time
	last     chan struct{} // closed when no connection comes any more
	at       atomic.Int32
	bounded  atomic.Bool // there is a time by which the process has to be done
}

func newDrain(l *limitedListener, g *gate, within time.Duration) *drain {
	d := &drain{listener: l, gate: g, within: within, last: make(chan struct{})}
	d.at.Store(int32(serving))
	return d
}

func (d *drain) phase() phase { return phase(d.at.Load()) }

func (d *drain) enter(p phase) {
	d.at.Store(int32(p))
	slog.Info(p.String(), "connections", d.listener.open(), "after", time.Since(d.begun).Round(time.Millisecond))
}

// begin starts the end.
func (d *drain) begin() {
	if !d.bounded.CompareAndSwap(false, true) {
		return
	}
	d.gate.stop(d.within)
	slog.Info("told to end", "answered_within", d.within)
	time.AfterFunc(d.within, d.listener.closeRest)
	if d.phase() != serving {
		return // a new process has its place already
	}
	d.begun = time.Now()
	d.listener.drain() // none that is idle may get a request after the listener has gone
	d.enter(draining)
	time.AfterFunc(lastConnections, func() { close(d.last) })
}

// hand starts the end where a new process takes all that comes from now on: there
// is nothing to wait for but what was taken.
func (d *drain) hand() error {
	d.begun = time.Now()
	d.listener.drain()
	return d.finish()
}

// finish takes no connection from now on.
func (d *drain) finish() error {
	if err := d.listener.stopAccepting(); err != nil {
		return fmt.Errorf("stop listening: %w", err)
	}
	d.enter(finishing)
	return nil
}

// due has a value, or is closed, when the next phase is to begin.
func (d *drain) due() <-chan struct{} {
	switch d.phase() {
	case draining:
		return d.last
	case finishing:
		return d.listener.gone
	}
	return nil
}

// next begins the phase that is due, and says whether that was the last.
func (d *drain) next() (done bool, err error) {
	if d.phase() == draining {
		d.listener.takeBacklog()
		return false, d.finish()
	}
	d.enter(over)
	return true, nil
}
