package system

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is an action scheduled for a time. Events with the same time run in the order in which
// they were scheduled.
type event struct {
	at     time.Duration
	seq    uint64
	action func()
}

// eventQueue is a heap of events with the next one at the top.
type eventQueue []event

// Len implements heap.Interface, as do the methods below.
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

// scheduler holds the simulated time of a world and its pending events.
type scheduler struct {
	now       time.Duration
	queue     eventQueue
	seq       uint64
	rng       *rand.Rand
	processed int // number of events that have run
}

// startTime is the simulated time at which a world starts. It lies in the future, so that no
// deadline that production code derives from it has already passed in real time.
var startTime = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// after schedules an action to run after a delay.
func (s *scheduler) after(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(0, d), s.seq, action})
}

// jitter draws a duration between 0.5 and 1.5 times the mean d.
func (s *scheduler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}

// time returns the true simulated time, which no clock drift affects.
func (s *scheduler) time() time.Time { return startTime.Add(s.now) }

// run processes events up to a time, or until stop reports true.
func (s *scheduler) run(until time.Duration, stop func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= until && !stop() {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.processed++
		e.action()
	}
	s.now = max(s.now, until)
}
