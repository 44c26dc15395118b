package server

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// errBusy is returned for a call that exceeds a limit on concurrent calls, watches or long polls.
var errBusy = errors.New("too many calls wait for their turn")

// callLimiter bounds the number of calls that run concurrently and of those queued. The
// queue is first in, first out.
type callLimiter struct {
	mu      sync.Mutex
	limits  Limits
	running int
	waiting []chan struct{} // in the order of arrival; each is closed when its call is admitted
}

// acquire waits until a call is admitted. The caller must call release after each success.
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
		l.release() // admitted concurrently with the end of ctx
	}
	return ctx.Err()
}

// enqueue returns nil if the call is admitted immediately, or else a channel that is closed
// when it is admitted.
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

// dequeue removes a queued call. It returns false if the call is no longer queued.
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

// admitLocked admits queued calls up to the limit on running calls.
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

// counts returns the numbers of running and of queued calls.
func (l *callLimiter) counts() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting)
}
