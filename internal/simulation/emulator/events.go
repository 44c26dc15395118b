package emulator

import (
	"container/heap"
	"time"
)

// events is a heap of scheduled events, ordered by time and then by sequence number.
type events []event

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// schedule adds an event at a time, or at the present if that has passed.
func (s *Sim) schedule(at time.Duration, run func()) {
	s.scheduledEvents++
	heap.Push(&s.queue, event{max(at, s.now), s.scheduledEvents, run})
}

func (s *Sim) after(d time.Duration, run func()) { s.schedule(s.now+d, run) }
