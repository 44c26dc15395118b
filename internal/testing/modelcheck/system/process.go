package system

import "time"

// process is one of the operating system's: it can be killed, stopped, cut off and started
// again.
type process struct {
	*scheduler
	name            string
	up              bool
	paused          bool
	outboundBlocked bool // what it sends does not arrive
	inboundBlocked  bool // what others send it does not
	delayed         bool
	clockRate       int64         // of its clock, in thousandths
	clockOffset     time.Duration // what it is ahead of true time, from earlier rates
	incarnation     uint64
	tasks           []*task
	deferred        []func() // what is to go on when it is no longer stopped
	onStart         func()   // starts its tasks
	onEnd           func()   // tells that it has ended; may be nil
}

func (p *process) start() {
	if p.up {
		return
	}
	p.up, p.paused, p.deferred = true, false, nil
	p.incarnation++
	p.onStart()
}

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

func (p *process) pause() { p.paused = p.up }

func (p *process) unpause() {
	if !p.paused {
		return
	}
	p.paused = false
	held := p.deferred
	p.deferred = nil
	for _, do := range held {
		p.after(0, p.whileAlive(do))
	}
}

// whileAlive makes what happens within this start of the process, when it is not stopped.
func (p *process) whileAlive(do func()) func() {
	of := p.incarnation
	var in func()
	in = func() {
		switch {
		case !p.up || p.incarnation != of:
		case p.paused:
			p.deferred = append(p.deferred, in)
		default:
			do()
		}
	}
	return in
}

// monotonic is what the process's own monotonic clock says.
func (p *process) monotonic() time.Duration {
	return time.Duration(int64(p.now)*p.clockRate/1000) + p.clockOffset + time.Hour
}

// setClockRate lets its clock run at another rate from now on.
func (p *process) setClockRate(rate int64) {
	was := p.monotonic()
	p.clockRate = rate
	p.clockOffset += was - p.monotonic()
}
