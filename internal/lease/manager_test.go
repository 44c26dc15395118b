package lease

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"barleywick/internal/registry"
)

// harness runs managers in a synctest bubble and records which holder holds the lease "l" when.
type harness struct {
	registry *fakeRegistry
	ctx      context.Context
	tasks    sync.WaitGroup

	mu    sync.Mutex
	holds []holdSpan
}

type holdSpan struct {
	holder     string
	token      uint64
	begin, end time.Time
}

// run runs a test in a bubble, and checks that no two holders held the lease at once.
func run(t *testing.T, test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &harness{registry: newFakeRegistry(t), ctx: ctx}
		h.tasks.Go(func() { h.registry.runLeader(ctx) })
		test(h)
		cancel()
		h.tasks.Wait()
		slices.SortFunc(h.holds, func(a, b holdSpan) int { return a.begin.Compare(b.begin) })
		for i := 1; i < len(h.holds); i++ {
			previous, next := h.holds[i-1], h.holds[i]
			if next.begin.Before(previous.end) || next.token <= previous.token {
				t.Errorf("%+v overlaps %+v", next, previous)
			}
		}
	})
}

// startHolder starts a manager that holds the lease for as long as it can, until leave is
// called. Its clock reads 0 at the call.
func (h *harness) startHolder(holder string) (leave context.CancelFunc) {
	ctx, cancel := context.WithCancel(h.ctx)
	start := time.Now()
	m := NewManager(Options{
		Registry: h.registry, TTL: ttl, Holder: registry.Holder{Name: holder, Incarnation: 1}, Clock: func() time.Duration { return time.Since(start) },
	})
	done := make(chan struct{})
	h.tasks.Go(func() { m.Run(h.ctx) })
	h.tasks.Go(func() {
		defer close(done)
		m.Hold(ctx, "l", func(ctx context.Context, handle *Handle) error {
			span := holdSpan{holder: holder, token: handle.Token(), begin: time.Now()}
			<-ctx.Done()
			span.end = time.Now()
			h.mu.Lock()
			defer h.mu.Unlock()
			h.holds = append(h.holds, span)
			return ctx.Err()
		})
	})
	return func() {
		cancel()
		<-done
	}
}

// holder returns the holder of the lease according to the registry.
func (h *harness) holder() string {
	h.registry.mu.Lock()
	defer h.registry.mu.Unlock()
	l, _ := h.registry.state.Leases().Lease("l")
	if l.Grant == nil {
		return ""
	}
	return l.Grant.Name
}

func TestHandOver(t *testing.T) {
	run(t, func(h *harness) {
		leave := h.startHolder("k1")
		time.Sleep(time.Second)
		h.startHolder("k2")
		time.Sleep(time.Second)
		h.startHolder("k3")
		time.Sleep(10 * ttl)
		if got := h.holder(); got != "k1" {
			t.Fatalf("after ten times the time to live: got holder %q, want k1", got)
		}
		leave()
		if got := h.holder(); got != "k2" {
			t.Errorf("after k1 has left: got holder %q, want k2", got)
		}
		time.Sleep(time.Second)
		h.registry.mu.Lock()
		h.registry.apply(registry.Command{Op: registry.OpRequestYield, Lease: &registry.LeaseCommand{Name: "l", Yield: true, NextHolder: "k3"}})
		h.registry.mu.Unlock()
		time.Sleep(time.Second)
		if got := h.holder(); got != "k3" {
			t.Errorf("after a yield to k3 was requested: got holder %q, want k3", got)
		}
		time.Sleep(time.Second)
	})
}

// A holder whose calls or answers are lost stops before another holder begins, and another
// holder begins within twice the time to live.
func TestCutOff(t *testing.T) {
	for name, l := range map[string]lossMode{"out": lossOfCalls, "back": lossOfAnswers} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startHolder("k1")
				time.Sleep(time.Second)
				h.startHolder("k2")
				time.Sleep(ttl)
				h.registry.setLoss("k1", l)
				cut := time.Now()
				for h.holder() != "k2" {
					time.Sleep(10 * time.Millisecond)
					if time.Since(cut) > 3*ttl {
						t.Fatal("the lease is still held by the partitioned holder after three times the time to live")
					}
				}
				// If only answers are lost, the holder's renewals still arrive until it stops
				// by itself.
				if took := time.Since(cut); took > 2*ttl {
					t.Errorf("got another holder after %v, want at most %v", took, 2*ttl)
				}
				h.registry.setLoss("k1", lossNone)
				time.Sleep(2 * ttl)
			})
		})
	}
}

func TestActs(t *testing.T) {
	run(t, func(h *harness) {
		start := time.Now()
		var stopped atomic.Int64 // for how long the process was suspended
		m := NewManager(Options{
			Registry: h.registry, TTL: ttl, Holder: registry.Holder{Name: "k1"},
			Clock: func() time.Duration { return time.Since(start) + time.Duration(stopped.Load()) },
		})
		h.tasks.Go(func() { m.Run(h.ctx) })
		err := m.Hold(h.ctx, "l", func(ctx context.Context, handle *Handle) error {
			if stopped.Load() > 0 {
				return nil // the manager saw that the lease had lapsed before the task ended
			}
			if err := handle.RunAct(ctx, ttl, func(context.Context) error { return nil }); !errors.Is(err, ErrInsufficientTime) {
				t.Errorf("an act longer than the lease: got %v, want %v", err, ErrInsufficientTime)
			}
			actCtx, cancel, err := handle.BeginAct(ctx, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer cancel()
			if until, ok := actCtx.Deadline(); !ok || time.Until(until) > ttl*3/4 {
				t.Errorf("got a deadline of an act at %v, want at most %v from now", until, ttl*3/4)
			}
			stopped.Store(int64(ttl))
			if _, _, err := handle.BeginAct(ctx, 0); !errors.Is(err, ErrLapsed) {
				t.Errorf("an act after the lease: got %v, want %v", err, ErrLapsed)
			}
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	})
}
