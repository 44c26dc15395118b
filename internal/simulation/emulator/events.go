package emulator

import (
	"container/heap"
	"time"
)

// events is a heap of scheduled events, ordered by time.
type events []event

type event struct {
	at time.Duration
	n  uint64
	do func()
}

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].n < e[j].n)
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

// schedule adds an event at a time.
func (s *Sim) schedule(at time.Duration, do func()) {
	s.count++
	heap.Push(&s.queue, event{max(at, s.now), s.count, do})
}

func (s *Sim) after(d time.Duration, do func()) { s.schedule(s.now+d, do) }
