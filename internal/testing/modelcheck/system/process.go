package system

import "time"

// process is a process of the operating system: it can be killed, paused, cut off and started
// again.
type process struct {
	*scheduler
	name            string
	up              bool
	paused          bool
	outboundBlocked bool          // messages from it are lost
	inboundBlocked  bool          // messages to it are lost
	delayed         bool          // messages from and to it are late
	clockRate       int64         // in thousandths of the true rate
	clockOffset     time.Duration // from the true time, caused by earlier rates
	incarnation     uint64
	tasks           []*task
	deferred        []func() // what happens when it is no longer paused
	onStart         func()   // starts its tasks
	onEnd           func()   // called when it has ended; may be nil
}

// start starts the process, as a new incarnation, if it is down.
func (p *process) start() {
	if p.up {
		return
	}
	p.up, p.paused, p.deferred = true, false, nil
	p.incarnation++
	p.onStart()
}

// kill ends the process and its tasks.
func (p *process) kill() {
	if !p.up {
		return
	}
	p.up, p.paused, p.deferred = false, false, nil
	for _, t := range p.tasks {
		t.kill()
	}
	p.tasks = nil
	if p.onEnd != nil {
		p.onEnd()
	}
}

// pause stops the process until unpause.
func (p *process) pause() { p.paused = p.up }

// unpause lets a paused process go on.
func (p *process) unpause() {
	if !p.paused {
		return
	}
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, do := range deferred {
		p.after(0, p.whileAlive(do))
	}
}

// whileAlive wraps a function so that it does nothing once this incarnation has ended, and is
// deferred while the process is paused.
func (p *process) whileAlive(do func()) func() {
	incarnation := p.incarnation
	var guarded func()
	guarded = func() {
		switch {
		case !p.up || p.incarnation != incarnation:
		case p.paused:
			p.deferred = append(p.deferred, guarded)
		default:
			do()
		}
	}
	return guarded
}

// monotonic returns the reading of the process's own monotonic clock.
func (p *process) monotonic() time.Duration {
	return time.Duration(int64(p.now)*p.clockRate/normalClockRate) + p.clockOffset + time.Hour
}

// setClockRate lets the clock run at another rate from now on, without a jump.
func (p *process) setClockRate(rate int64) {
	before := p.monotonic()
	p.clockRate = rate
	p.clockOffset += before - p.monotonic()
}
