package wait

import (
	"sync"
	"time"
)

const (
	stallCheckInterval = 5 * time.Millisecond
	// minStall is the shortest stall that is kept: below, a check came as late as any timer.
	minStall = 5 * time.Millisecond
)

// Stall is a time in which this process was not scheduled.
type Stall struct{ From, Until time.Time }

// Stalls measures the times in which this process is not scheduled. Tests that compare
// clock times have to know them: what they observe then is late.
type Stalls struct {
	stop    chan struct{}
	stopped sync.WaitGroup

	mu     sync.Mutex
	stalls []Stall
}

// WatchStalls measures until Stop is called.
func WatchStalls() *Stalls {
	s := &Stalls{stop: make(chan struct{})}
	s.stopped.Go(s.run)
	return s
}

func (s *Stalls) run() {
	last := time.Now()
	for {
		select {
		case <-time.After(stallCheckInterval):
		case <-s.stop:
			return
		}
		now := time.Now()
		if due := last.Add(stallCheckInterval); now.Sub(due) >= minStall {
			s.mu.Lock()
			s.stalls = append(s.stalls, Stall{due, now})
			s.mu.Unlock()
		}
		last = now
	}
}

// Stop ends the measurement. What was measured stays.
func (s *Stalls) Stop() {
	close(s.stop)
	s.stopped.Wait()
}

// Within returns for how long the process was not scheduled between two times.
func (s *Stalls) Within(from, until time.Time) (total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stall := range s.stalls {
		total += stall.Within(from, until)
	}
	return total
}

// Within returns how much of the stall lies between two times.
func (s Stall) Within(from, until time.Time) time.Duration {
	if s.From.Before(from) {
		s.From = from
	}
	if s.Until.After(until) {
		s.Until = until
	}
	return max(0, s.Until.Sub(s.From))
}

// Longest returns the longest time for which the process was not scheduled.
func (s *Stalls) Longest() (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stall := range s.stalls {
		longest = max(longest, stall.Until.Sub(stall.From))
	}
	return longest
}
