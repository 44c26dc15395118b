package system

import (
	"errors"
	"fmt"
	"iter"
	"time"
)

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
