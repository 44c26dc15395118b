package system

import "time"

// process simulates an operating system process, which can be killed, paused, partitioned and
// restarted.
type process struct {
	*scheduler
	name            string
	up              bool
	paused          bool
	outboundBlocked bool          // messages from it are lost
	inboundBlocked  bool          // messages to it are lost
	delayed         bool          // messages from and to it are delayed
	clockRate       int64         // in thousandths of the normal rate
	clockOffset     time.Duration // offset from the true time that earlier rates have caused
	incarnation     uint64
	tasks           []*task
	deferred        []func() // callbacks to run once it is unpaused
	onStart         func()   // starts its tasks
	onEnd           func()   // called after it has ended; may be nil
}

// start starts the process as a new incarnation, unless it is running.
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

// unpause resumes a paused process and schedules its deferred callbacks.
func (p *process) unpause() {
	if !p.paused {
		return
	}
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, callback := range deferred {
		p.after(0, p.whileAlive(callback))
	}
}

// whileAlive wraps a function so that it does nothing once this incarnation has ended, and is
// deferred while the process is paused.
func (p *process) whileAlive(callback func()) func() {
	incarnation := p.incarnation
	var guarded func()
	guarded = func() {
		switch {
		case !p.up || p.incarnation != incarnation:
		case p.paused:
			p.deferred = append(p.deferred, guarded)
		default:
			callback()
		}
	}
	return guarded
}

// monotonic returns the reading of the process's own monotonic clock.
func (p *process) monotonic() time.Duration {
	return time.Duration(int64(p.now)*p.clockRate/normalClockRate) + p.clockOffset + time.Hour
}

// setClockRate changes the rate of the clock from now on, without a jump in its reading.
func (p *process) setClockRate(rate int64) {
	before := p.monotonic()
	p.clockRate = rate
	p.clockOffset += before - p.monotonic()
}
