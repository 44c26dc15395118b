// Package system runs the fleet's state machines as one: replicas of the registry,
// keepers that hold leases and run the real drains and the real decisions of a change of
// policy and of the fleet's word, sidecars that follow the list, the policy and the word,
// and operators. There is one goroutine at a time, a clock, a network and disks of its
// own, and faults that fall on chosen steps. What happens follows from the seed and the
// faults alone, so each schedule can be played again, and cut to the faults it needs.
package system

import (
	"container/heap"
	"errors"
	"fmt"
	"iter"
	"math/rand/v2"
	"time"
)

// event is something that happens at a time; of two at one time the earlier made goes first.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// scheduler is the time of a world, and what is to happen in it.
type scheduler struct {
	now       time.Duration
	queue     eventQueue
	seq       uint64
	rng       *rand.Rand
	processed int
}

// startTime is what the world's clocks say at its start: in a time to come, so that no
// deadline that real code derives from it is over in true time.
var startTime = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *scheduler) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + max(0, d), c.seq, do})
}

// jitter is a time drawn around a mean, from half of it to half as much again.
func (c *scheduler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d)))
}

func (c *scheduler) time() time.Time { return startTime.Add(c.now) }

// run lets everything happen up to a time, or until stop says so.
func (c *scheduler) run(until time.Duration, stop func() bool) {
	for len(c.queue) > 0 && c.queue[0].at <= until && !stop() {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		c.processed++
		e.do()
	}
	c.now = max(c.now, until)
}

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

// task is a part of a process that runs by itself, one at a time in the world.
type task struct {
	*process
	next          func() (struct{}, bool)
	stopCoroutine func()
	yield         func(struct{}) bool
	wakeups       int
	ended         bool
	contextEnded  func() bool // its context has ended; nil: it has none
}

// errKilled ends a task from within; it never leaves this file.
var errKilled = errors.New("killed")

// spawn starts a task.
func (p *process) spawn(body func(t *task)) *task {
	t := &task{process: p}
	t.next, t.stopCoroutine = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			t.ended = true
			if r := recover(); r != nil && r != any(errKilled) {
				panic(fmt.Sprintf("together: %s: %v", p.name, r))
			}
		}()
		t.yield = yield
		body(t)
	})
	p.tasks = append(p.tasks, t)
	p.after(0, p.whileAlive(func() { t.resume() }))
	return t
}

func (t *task) resume() {
	if !t.ended {
		t.next()
	}
}

func (t *task) kill() {
	if !t.ended {
		t.ended = true
		t.stopCoroutine()
	}
}

// await begins something that wakes the task, and waits for the first wake.
func (t *task) await(begin func(wake func())) {
	t.wakeups++
	mine := t.wakeups
	begin(t.whileAlive(func() {
		if t.wakeups == mine && !t.ended {
			t.wakeups++
			t.resume()
		}
	}))
	if !t.yield(struct{}{}) || t.contextEnded != nil && t.contextEnded() {
		panic(errKilled)
	}
}

func (t *task) sleep(d time.Duration) {
	t.await(func(wake func()) { t.after(d, wake) })
}

const (
	// messageLatency is what a message takes, lateHop one from or to a process that is late.
	messageLatency = time.Millisecond
	delayedLatency = 600 * time.Millisecond
)

// transit is how long a message takes from one process to another; lost: it does not come.
func transit(from, to *process) (takes time.Duration, lost bool) {
	if from.outboundBlocked || to.inboundBlocked {
		return 0, true
	}
	takes = from.jitter(messageLatency)
	if from.delayed || to.delayed {
		takes += from.jitter(delayedLatency)
	}
	return takes, false
}

// call asks another process, and says whether it was answered in time. What was asked is
// carried out whether the answer comes or not.
func (t *task) call(to *process, within time.Duration, do func(reply func(take func()))) (answered bool) {
	t.await(func(wake func()) {
		t.after(within, wake)
		takes, lost := transit(t.process, to)
		if lost {
			return
		}
		var deliver func()
		deliver = func() {
			do(func(take func()) {
				back, lost := transit(to, t.process)
				if lost {
					return
				}
				t.after(back, t.whileAlive(func() {
					if !answered && t.wakeups >= 0 {
						answered = true
						take()
						wake()
					}
				}))
			})
		}
		t.after(takes, func() {
			if to.up && !to.paused {
				deliver()
			} else if to.up {
				to.deferred = append(to.deferred, deliver)
			}
		})
	})
	return answered
}
