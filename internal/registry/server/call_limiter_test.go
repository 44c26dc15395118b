package server

import (
	"context"
	"errors"
	"testing"
)

// The limiter runs a bounded number of calls, lets a bounded number wait in order, and
// refuses others.
func TestCallLimiter(t *testing.T) {
	limiter := &callLimiter{limits: Limits{Calls: 1, Waiting: 2}}
	if err := limiter.acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	order := make(chan int, 3)
	gone, leave := context.WithCancel(t.Context())
	for i, ctx := range []context.Context{gone, t.Context()} {
		go func() {
			if limiter.acquire(ctx) == nil {
				order <- i
			} else {
				order <- -1
			}
		}()
		eventually(t, "it waits", func() bool { _, waiting := limiter.counts(); return waiting == i+1 })
	}
	if err := limiter.acquire(t.Context()); !errors.Is(err, errBusy) {
		t.Errorf("a call beyond the limits: got %v want %v", err, errBusy)
	}
	leave()
	if got := <-order; got != -1 {
		t.Errorf("got %d want -1: a call whose caller had gone was admitted", got)
	}
	limiter.release()
	if got := <-order; got != 1 {
		t.Errorf("got %d want 1, the call that still waits", got)
	}
	limiter.setLimits(Limits{Calls: 2, Waiting: 0})
	if err := limiter.acquire(t.Context()); err != nil {
		t.Errorf("with other limits: %v", err)
	}
	if running, waiting := limiter.counts(); running != 2 || waiting != 0 {
		t.Errorf("got %d running and %d waiting, want 2 and 0", running, waiting)
	}
}
