package system

import (
	"errors"
	"fmt"
	"iter"
	"time"
)

// task is a coroutine of a process. One task runs at a time in the whole world.
type task struct {
	*process
	next          func() (struct{}, bool)
	stopCoroutine func()
	yield         func(struct{}) bool
	wakeups       int // counts waits and wakes, so that a late wake is recognized
	ended         bool
	contextEnded  func() bool // reports whether its context has ended; nil: it has none
}

// errKilled is the value of the panic that ends a task from within. spawn recovers it.
var errKilled = errors.New("killed")

// spawn starts a task.
func (p *process) spawn(body func(t *task)) *task {
	t := &task{process: p}
	t.next, t.stopCoroutine = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			t.ended = true
			if r := recover(); r != nil && r != any(errKilled) {
				panic(fmt.Sprintf("system: %s: %v", p.name, r))
			}
		}()
		t.yield = yield
		body(t)
	})
	p.tasks = append(p.tasks, t)
	p.after(0, p.whileAlive(func() { t.resume() }))
	return t
}

// resume lets the task run until it waits again.
func (t *task) resume() {
	if !t.ended {
		t.next()
	}
}

// kill ends the task at the point where it waits.
func (t *task) kill() {
	if !t.ended {
		t.ended = true
		t.stopCoroutine()
	}
}

// await calls begin, which arranges for wake to be called, and waits for the first wake.
func (t *task) await(begin func(wake func())) {
	t.wakeups++
	waiting := t.wakeups
	begin(t.whileAlive(func() {
		if t.wakeups == waiting && !t.ended {
			t.wakeups++
			t.resume()
		}
	}))
	if !t.yield(struct{}{}) || t.contextEnded != nil && t.contextEnded() {
		panic(errKilled)
	}
}

// sleep waits for a duration.
func (t *task) sleep(d time.Duration) {
	t.await(func(wake func()) { t.after(d, wake) })
}

const (
	// messageLatency is the mean latency of a message. delayedLatency comes on top of it at a process
	// that is delayed.
	messageLatency = time.Millisecond
	delayedLatency = 600 * time.Millisecond
)

// transit draws how long a message takes from one process to another, or reports it lost.
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

// call sends a request to another process, and reports whether the answer came in time. The
// request may be carried out also if it did not.
func (t *task) call(to *process, within time.Duration, handle func(reply func(accept func()))) (answered bool) {
	t.await(func(wake func()) {
		t.after(within, wake)
		takes, lost := transit(t.process, to)
		if lost {
			return
		}
		deliver := func() {
			handle(func(accept func()) {
				back, lost := transit(to, t.process)
				if lost {
					return
				}
				t.after(back, t.whileAlive(func() {
					if !answered && t.wakeups >= 0 {
						answered = true
						accept()
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
