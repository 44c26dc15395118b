// Package system runs the fleet's state machines as one: replicas of the registry,
// keepers that hold leases and run the real drains and the real decisions of a change of
// policy and of the fleet's word, sidecars that follow the list, the policy and the word,
// and operators. There is one goroutine at a time, a clock, a network and disks of its
// own, and faults that fall on chosen steps. What happens follows from the seed and the
// faults alone, so each schedule can be played again, and cut to the faults it needs.
package system

import (
	"container/heap"
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

func (s *scheduler) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(0, d), s.seq, do})
}

// jitter is a time drawn around a mean, from half of it to half as much again.
func (s *scheduler) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}

func (s *scheduler) time() time.Time { return startTime.Add(s.now) }

// run lets everything happen up to a time, or until stop says so.
func (s *scheduler) run(until time.Duration, stop func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= until && !stop() {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.processed++
		e.do()
	}
	s.now = max(s.now, until)
}
