package server

import (
	"context"
	"testing"
)

// Calls wait in a bounded turn, in order, and are told to come back beyond it.
func TestTurn(t *testing.T) {
	tn := &callLimiter{limits: Limits{Calls: 1, Waiting: 2}}
	if err := tn.acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	order := make(chan int, 3)
	gone, leave := context.WithCancel(t.Context())
	for i, ctx := range []context.Context{gone, t.Context()} {
		go func() {
			if tn.acquire(ctx) == nil {
				order <- i
			} else {
				order <- -1
			}
		}()
		eventually(t, "it waits", func() bool { _, waiting := tn.counts(); return waiting == i+1 })
	}
	if err := tn.acquire(t.Context()); err != errBusy {
		t.Errorf("beyond the bound: %v", err)
	}
	leave()
	if got := <-order; got != -1 {
		t.Errorf("%d was served", got)
	}
	tn.release()
	if got := <-order; got != 1 {
		t.Errorf("%d was served, want the one that still waits", got)
	}
	tn.setLimits(Limits{Calls: 2, Waiting: 0})
	if err := tn.acquire(t.Context()); err != nil {
		t.Errorf("with another limit: %v", err)
	}
	if running, waiting := tn.counts(); running != 2 || waiting != 0 {
		t.Errorf("%d run and %d wait", running, waiting)
	}
}
