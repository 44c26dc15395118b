package server

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// errBusy says that a call was refused by a limit on how much is served at once.
var errBusy = errors.New("too many calls wait for their turn")

// callLimiter bounds the calls that run at once and those that wait, first come first
// served.
type callLimiter struct {
	mu      sync.Mutex
	limits  Limits
	running int
	waiting []chan struct{} // in the order of arrival; closed when the call may run
}

// acquire waits until a call may run. Each success has to be followed by release.
func (l *callLimiter) acquire(ctx context.Context) error {
	admitted, err := l.enqueue()
	if admitted == nil || err != nil {
		return err
	}
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
	}
	if !l.dequeue(admitted) {
		l.release() // it was admitted a moment ago
	}
	return ctx.Err()
}

// enqueue returns nil if the call may run at once, or else a channel that is closed when
// it may.
func (l *callLimiter) enqueue() (admitted chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running < l.limits.Calls && len(l.waiting) == 0 {
		l.running++
		return nil, nil
	}
	if len(l.waiting) >= l.limits.Waiting {
		return nil, errBusy
	}
	admitted = make(chan struct{})
	l.waiting = append(l.waiting, admitted)
	return admitted, nil
}

// dequeue removes a call that waits. It returns false if the call does not wait any more.
func (l *callLimiter) dequeue(admitted chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, admitted)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

func (l *callLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.admitLocked()
}

// admitLocked lets waiting calls run as far as the limit allows.
func (l *callLimiter) admitLocked() {
	for l.running < l.limits.Calls && len(l.waiting) > 0 {
		l.running++
		close(l.waiting[0])
		l.waiting = slices.Delete(l.waiting, 0, 1)
	}
}

func (l *callLimiter) setLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	l.admitLocked()
}

// counts returns how many calls run and how many wait.
func (l *callLimiter) counts() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting)
}
