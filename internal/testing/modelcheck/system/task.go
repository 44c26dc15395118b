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
	waitSeq       int // changes with each wait and wake, so that a late wake is ignored
	ended         bool
	contextEnded  func() bool // reports whether its context has ended; nil: it has none
}

// errKilled is the panic value that unwinds a killed task. spawn recovers it.
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

// kill ends the task at the point where it is waiting.
func (t *task) kill() {
	if !t.ended {
		t.ended = true
		t.stopCoroutine()
	}
}

// await calls begin, which schedules a call of wake, and suspends the task until wake is first called.
func (t *task) await(begin func(wake func())) {
	t.waitSeq++
	seq := t.waitSeq
	begin(t.whileAlive(func() {
		if t.waitSeq == seq && !t.ended {
			t.waitSeq++
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
	// messageLatency is the mean latency of a message. delayedLatency is added to it if the sender or
	// the receiver is delayed.
	messageLatency = time.Millisecond
	delayedLatency = 600 * time.Millisecond
)

// transit draws the latency of a message from one process to another, or reports that it is lost.
func transit(from, to *process) (latency time.Duration, lost bool) {
	if from.outboundBlocked || to.inboundBlocked {
		return 0, true
	}
	latency = from.jitter(messageLatency)
	if from.delayed || to.delayed {
		latency += from.jitter(delayedLatency)
	}
	return latency, false
}

// call sends a request to another process, and reports whether a reply arrived before the timeout.
// Without a reply the request may nevertheless have been handled.
func (t *task) call(to *process, timeout time.Duration, handle func(reply func(accept func()))) (replied bool) {
	t.await(func(wake func()) {
		t.after(timeout, wake)
		latency, lost := transit(t.process, to)
		if lost {
			return
		}
		deliver := func() {
			handle(func(accept func()) {
				replyLatency, lost := transit(to, t.process)
				if lost {
					return
				}
				t.after(replyLatency, t.whileAlive(func() {
					if !replied && t.waitSeq >= 0 {
						replied = true
						accept()
						wake()
					}
				}))
			})
		}
		t.after(latency, func() {
			if to.up && !to.paused {
				deliver()
			} else if to.up {
				to.deferred = append(to.deferred, deliver)
			}
		})
	})
	return replied
}
