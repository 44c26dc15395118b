package server

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// callLimiter lets a bounded number of calls be under way and a bounded number wait; what
// comes beyond is told to come back.
type callLimiter struct {
	mu      sync.Mutex
	limits  Limits
	running int
	waiting []chan struct{} // in the order of arrival; closed when it is their turn
}

var errBusy = errors.New("too many calls wait for their turn")

// acquire waits for a turn. Each success is to be followed by done.
func (t *callLimiter) acquire(ctx context.Context) error {
	t.mu.Lock()
	if t.running < t.limits.Calls && len(t.waiting) == 0 {
		t.running++
		t.mu.Unlock()
		return nil
	}
	if len(t.waiting) >= t.limits.Waiting {
		t.mu.Unlock()
		return errBusy
	}
	c := make(chan struct{})
	t.waiting = append(t.waiting, c)
	t.mu.Unlock()
	select {
	case <-c:
		return nil
	case <-ctx.Done():
	}
	t.mu.Lock()
	i := slices.Index(t.waiting, c)
	if i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
	t.mu.Unlock()
	if i < 0 {
		t.release() // it was given the turn a moment ago
	}
	return ctx.Err()
}

func (t *callLimiter) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.admitLocked()
}

// admitLocked gives free turns to those that wait.
func (t *callLimiter) admitLocked() {
	for t.running < t.limits.Calls && len(t.waiting) > 0 {
		t.running++
		close(t.waiting[0])
		t.waiting = slices.Delete(t.waiting, 0, 1)
	}
}

func (t *callLimiter) setLimits(l Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
	t.admitLocked()
}

// counts returns how many calls are under way and how many wait.
func (t *callLimiter) counts() (running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running, len(t.waiting)
}
