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

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// clock is the time of a world, and what is to happen in it.
type clock struct {
	now    time.Duration
	queue  events
	seq    uint64
	rng    *rand.Rand
	events int
}

// begin is what the world's clocks say at its start: in a time to come, so that no
// deadline that real code derives from it is over in true time.
var begin = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + max(0, d), c.seq, do})
}

// spread is a time drawn around a mean, from half of it to half as much again.
func (c *clock) spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d)))
}

func (c *clock) time() time.Time { return begin.Add(c.now) }

// run lets everything happen up to a time, or until stop says so.
func (c *clock) run(until time.Duration, stop func() bool) {
	for len(c.queue) > 0 && c.queue[0].at <= until && !stop() {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		c.events++
		e.do()
	}
	c.now = max(c.now, until)
}

// process is one of the operating system's: it can be killed, stopped, cut off and started
// again.
type process struct {
	*clock
	name    string
	up      bool
	stopped bool
	mute    bool // what it sends does not arrive
	deaf    bool // what others send it does not
	late    bool
	rate    int64         // of its clock, in thousandths
	ahead   time.Duration // what it is ahead of true time, from earlier rates
	starts  uint64
	tasks   []*task
	held    []func() // what is to go on when it is no longer stopped
	boot    func()   // starts its tasks
	end     func()   // tells that it has ended; may be nil
}

func (p *process) start() {
	if p.up {
		return
	}
	p.up, p.stopped, p.held = true, false, nil
	p.starts++
	p.boot()
}

func (p *process) kill() {
	if !p.up {
		return
	}
	p.up, p.stopped, p.held = false, false, nil
	for _, t := range p.tasks {
		t.kill()
	}
	p.tasks = nil
	if p.end != nil {
		p.end()
	}
}

func (p *process) stop() { p.stopped = p.up }

func (p *process) cont() {
	if !p.stopped {
		return
	}
	p.stopped = false
	held := p.held
	p.held = nil
	for _, do := range held {
		p.after(0, p.alive(do))
	}
}

// alive makes what happens within this start of the process, when it is not stopped.
func (p *process) alive(do func()) func() {
	of := p.starts
	var in func()
	in = func() {
		switch {
		case !p.up || p.starts != of:
		case p.stopped:
			p.held = append(p.held, in)
		default:
			do()
		}
	}
	return in
}

// reads is what the process's own monotonic clock says.
func (p *process) reads() time.Duration {
	return time.Duration(int64(p.now)*p.rate/1000) + p.ahead + time.Hour
}

// drift lets its clock run at another rate from now on.
func (p *process) drift(rate int64) {
	was := p.reads()
	p.rate = rate
	p.ahead += was - p.reads()
}

// task is a part of a process that runs by itself, one at a time in the world.
type task struct {
	*process
	next   func() (struct{}, bool)
	stopIt func()
	yield  func(struct{}) bool
	turn   int
	over   bool
	lapsed func() bool // its context has ended; nil: it has none
}

// errKilled ends a task from within; it never leaves this file.
var errKilled = errors.New("killed")

// spawn starts a task.
func (p *process) spawn(body func(t *task)) *task {
	t := &task{process: p}
	t.next, t.stopIt = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			t.over = true
			if r := recover(); r != nil && r != any(errKilled) {
				panic(fmt.Sprintf("together: %s: %v", p.name, r))
			}
		}()
		t.yield = yield
		body(t)
	})
	p.tasks = append(p.tasks, t)
	p.after(0, p.alive(func() { t.resume() }))
	return t
}

func (t *task) resume() {
	if !t.over {
		t.next()
	}
}

func (t *task) kill() {
	if !t.over {
		t.over = true
		t.stopIt()
	}
}

// await begins something that wakes the task, and waits for the first wake.
func (t *task) await(begin func(wake func())) {
	t.turn++
	mine := t.turn
	begin(t.alive(func() {
		if t.turn == mine && !t.over {
			t.turn++
			t.resume()
		}
	}))
	if !t.yield(struct{}{}) || t.lapsed != nil && t.lapsed() {
		panic(errKilled)
	}
}

func (t *task) sleep(d time.Duration) {
	t.await(func(wake func()) { t.after(d, wake) })
}

const (
	// hop is what a message takes, lateHop one from or to a process that is late.
	hop     = time.Millisecond
	lateHop = 600 * time.Millisecond
)

// way is how long a message takes from one process to another; lost: it does not come.
func way(from, to *process) (takes time.Duration, lost bool) {
	if from.mute || to.deaf {
		return 0, true
	}
	takes = from.spread(hop)
	if from.late || to.late {
		takes += from.spread(lateHop)
	}
	return takes, false
}

// call asks another process, and says whether it was answered in time. What was asked is
// carried out whether the answer comes or not.
func (t *task) call(to *process, within time.Duration, do func(reply func(take func()))) (answered bool) {
	t.await(func(wake func()) {
		t.after(within, wake)
		takes, lost := way(t.process, to)
		if lost {
			return
		}
		var deliver func()
		deliver = func() {
			do(func(take func()) {
				back, lost := way(to, t.process)
				if lost {
					return
				}
				t.after(back, t.alive(func() {
					if !answered && t.turn >= 0 {
						answered = true
						take()
						wake()
					}
				}))
			})
		}
		t.after(takes, func() {
			if to.up && !to.stopped {
				deliver()
			} else if to.up {
				to.held = append(to.held, deliver)
			}
		})
	})
	return answered
}
