package server

import (
	"context"
	"errors"
	"testing"
)

// The limiter runs a bounded number of calls, queues a bounded number in order of arrival,
// and rejects the others.
func TestCallLimiter(t *testing.T) {
	limiter := &callLimiter{limits: Limits{Calls: 1, Waiting: 2}}
	if err := limiter.acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	order := make(chan int, 3)
	cancelled, cancel := context.WithCancel(t.Context())
	for i, ctx := range []context.Context{cancelled, t.Context()} {
		go func() {
			if limiter.acquire(ctx) == nil {
				order <- i
			} else {
				order <- -1
			}
		}()
		eventually(t, "the call is queued", func() bool { _, waiting := limiter.counts(); return waiting == i+1 })
	}
	if err := limiter.acquire(t.Context()); !errors.Is(err, errBusy) {
		t.Errorf("a call beyond the limits: got %v, want %v", err, errBusy)
	}
	cancel()
	if got := <-order; got != -1 {
		t.Errorf("got %d, want -1: a call with a cancelled context was admitted", got)
	}
	limiter.release()
	if got := <-order; got != 1 {
		t.Errorf("got %d, want 1, the call that is still queued", got)
	}
	limiter.setLimits(Limits{Calls: 2, Waiting: 0})
	if err := limiter.acquire(t.Context()); err != nil {
		t.Errorf("acquire after the limits were raised: %v", err)
	}
	if running, waiting := limiter.counts(); running != 2 || waiting != 0 {
		t.Errorf("got %d running and %d waiting, want 2 and 0", running, waiting)
	}
}
