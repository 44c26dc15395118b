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

// harness runs members in a bubble and notes who holds when.
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

func run(t *testing.T, f func(b *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		b := &harness{registry: newFakeRegistry(t), ctx: ctx}
		b.tasks.Go(func() { b.registry.endExpired(ctx) })
		f(b)
		end()
		b.tasks.Wait()
		slices.SortFunc(b.holds, func(a, c holdSpan) int { return a.begin.Compare(c.begin) })
		for i := 1; i < len(b.holds); i++ {
			if was, is := b.holds[i-1], b.holds[i]; is.begin.Before(was.end) || is.token <= was.token {
				t.Errorf("%+v overlaps %+v", is, was)
			}
		}
	})
}

// join starts a member that acts for as long as it holds the lease; its clock begins
// when the bubble's does.
func (b *harness) join(holder string) (leave context.CancelFunc) {
	ctx, cancel := context.WithCancel(b.ctx)
	began := time.Now()
	m := NewManager(Options{
		Registry: b.registry, TTL: ttl, Holder: registry.Holder{Name: holder, Incarnation: 1}, Clock: func() time.Duration { return time.Since(began) },
	})
	over := make(chan struct{})
	b.tasks.Go(func() { m.Run(b.ctx) })
	b.tasks.Go(func() {
		defer close(over)
		m.Hold(ctx, "l", func(ctx context.Context, term *Handle) error {
			s := holdSpan{holder: holder, token: term.Token(), begin: time.Now()}
			<-ctx.Done()
			s.end = time.Now()
			b.mu.Lock()
			defer b.mu.Unlock()
			b.holds = append(b.holds, s)
			return ctx.Err()
		})
	})
	return func() {
		cancel()
		<-over
	}
}

// holder is whose the lease is by the registry.
func (b *harness) holder() string {
	b.registry.mu.Lock()
	defer b.registry.mu.Unlock()
	l, _ := b.registry.state.Leases().Lease("l")
	if l.Grant == nil {
		return ""
	}
	return l.Grant.Name
}

func TestHandOver(t *testing.T) {
	run(t, func(b *harness) {
		leave := b.join("k1")
		time.Sleep(time.Second)
		b.join("k2")
		time.Sleep(time.Second)
		b.join("k3")
		time.Sleep(10 * ttl)
		if got := b.holder(); got != "k1" {
			t.Fatalf("%q holds the lease, k1 has renewed it for ten times its time", got)
		}
		leave()
		if got := b.holder(); got != "k2" {
			t.Errorf("%q holds the lease when k1 has left", got)
		}
		time.Sleep(time.Second)
		b.registry.mu.Lock()
		b.registry.apply(registry.Command{Op: registry.OpRequestYield, Lease: &registry.LeaseCommand{Name: "l", Yield: true, NextHolder: "k3"}})
		b.registry.mu.Unlock()
		time.Sleep(time.Second)
		if got := b.holder(); got != "k3" {
			t.Errorf("%q holds the lease when k2 was asked to hand over to k3", got)
		}
		time.Sleep(time.Second)
	})
}

// A holder that is cut off in one direction or in both stops before another begins,
// and another begins within the time to live.
func TestCutOff(t *testing.T) {
	for _, how := range []string{"out", "back"} {
		t.Run(how, func(t *testing.T) {
			run(t, func(b *harness) {
				b.join("k1")
				time.Sleep(time.Second)
				b.join("k2")
				time.Sleep(ttl)
				b.registry.setLost("k1", how)
				cut := time.Now()
				for b.holder() != "k2" {
					time.Sleep(10 * time.Millisecond)
					if time.Since(cut) > 3*ttl {
						t.Fatal("the lease stays with a holder that is cut off")
					}
				}
				// Its calls still arrive where the answers are lost, until it stops by itself
				// and gives no sign of life any more.
				if took := time.Since(cut); took > 2*ttl {
					t.Errorf("it took %v", took)
				}
				b.registry.setLost("k1", "")
				time.Sleep(2 * ttl)
			})
		})
	}
}

func TestActs(t *testing.T) {
	run(t, func(b *harness) {
		began := time.Now()
		var stopped atomic.Int64
		m := NewManager(Options{Registry: b.registry, TTL: ttl, Holder: registry.Holder{Name: "k1"}, Clock: func() time.Duration { return time.Since(began) + time.Duration(stopped.Load()) }})
		b.tasks.Go(func() { m.Run(b.ctx) })
		err := m.Hold(b.ctx, "l", func(ctx context.Context, term *Handle) error {
			if stopped.Load() > 0 {
				return nil // the member saw that the lease had lapsed before the task's end
			}
			if err := term.Do(ctx, ttl, func(context.Context) error { return nil }); !errors.Is(err, ErrInsufficientTime) {
				t.Errorf("an act longer than the lease: %v", err)
			}
			in, cancel, err := term.BeginAct(ctx, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer cancel()
			if until, ok := in.Deadline(); !ok || time.Until(until) > ttl*3/4 {
				t.Errorf("an act may last until %v", until)
			}
			stopped.Store(int64(ttl)) // as a process that was stopped for that long finds when it goes on
			if _, _, err := term.BeginAct(ctx, 0); !errors.Is(err, ErrLapsed) {
				t.Errorf("an act after the lease: %v", err)
			}
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	})
}
