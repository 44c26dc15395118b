package system

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is something that happens at a time. Of two at one time, the one that was scheduled
// first happens first.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

// Len is of heap.Interface, as are the methods below.
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

// scheduler holds the time of a world and the events that are to happen.
type scheduler struct {
	now       time.Duration
	queue     eventQueue
	seq       uint64
	rng       *rand.Rand
	processed int // how many events have happened
}

// startTime is what the world's clocks say at its start. It lies in the future, so that no
// deadline that real code derives from it has passed in real time.
var startTime = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// after schedules an event.
func (s *scheduler) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(0, d), s.seq, do})
}

// jitter draws a duration between half of a mean and half as much again.
func (s *scheduler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}

// time returns the true time.
func (s *scheduler) time() time.Time { return startTime.Add(s.now) }

// run processes events up to a time, or until stop reports true.
func (s *scheduler) run(until time.Duration, stop func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= until && !stop() {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.processed++
		e.do()
	}
	s.now = max(s.now, until)
}
