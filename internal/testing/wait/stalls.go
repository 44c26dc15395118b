package wait

import (
	"sync"
	"time"
)

const (
	stallCheckInterval = 5 * time.Millisecond
	// minStall is the shortest stall that is recorded. Shorter delays are normal for timers.
	minStall = 5 * time.Millisecond
)

// Stall is an interval in which this process was not scheduled.
type Stall struct{ From, Until time.Time }

// Stalls measures the intervals in which this process is not scheduled. Tests that compare clock
// times have to allow for them, since observations made during a stall are late.
type Stalls struct {
	stop    chan struct{}
	stopped sync.WaitGroup

	mu     sync.Mutex
	stalls []Stall
}

// WatchStalls starts a measurement, which runs until Stop is called.
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

// Stop ends the measurement. The recorded stalls stay available.
func (s *Stalls) Stop() {
	close(s.stop)
	s.stopped.Wait()
}

// Within returns the total time for which the process was not scheduled between two times.
func (s *Stalls) Within(from, until time.Time) (total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stall := range s.stalls {
		total += stall.Within(from, until)
	}
	return total
}

// Within returns the part of the stall that lies between two times.
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
