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

// fakeRegistry is a registry of one replica without a network: the real state machine and
// the real count of a leader, on the bubble's clock.
type fakeRegistry struct {
	mu    sync.Mutex
	state *registry.State
	clock *registry.ClaimTracker
	lost  map[string]string // by holder: "out" loses calls, "back" loses answers
}

const ttl = 6 * time.Second

var errLost = errors.New("cut off")

func newFakeRegistry(t *testing.T) *fakeRegistry {
	t.Helper()
	g := &fakeRegistry{state: registry.NewState(), clock: registry.NewClaimTracker(ttl), lost: make(map[string]string)}
	g.apply(registry.Command{Op: registry.OpFoundGroup, Group: "g", AtMS: 1_700_000_000_000})
	g.apply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	return g
}

func (g *fakeRegistry) apply(c registry.Command) registry.Result {
	r := g.state.Apply(c)
	g.clock.Sync(g.state.Leases(), time.Now())
	return r
}

// endExpired ends what is due, as a leader does.
func (g *fakeRegistry) endExpired(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
		g.mu.Lock()
		ended, _ := g.clock.TakeExpired(time.Now())
		g.apply(registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: ended}})
		g.mu.Unlock()
	}
}

// call carries a holder's call out, unless it or its answer is lost.
func (g *fakeRegistry) call(ctx context.Context, holder string, do func() error) error {
	g.mu.Lock()
	lost := g.lost[holder]
	var err error
	if lost != "out" {
		err = do()
	}
	g.mu.Unlock()
	if lost != "" {
		<-ctx.Done()
		return errLost
	}
	return err
}

func (g *fakeRegistry) setLost(holder, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost[holder] = how
}

func (g *fakeRegistry) Acquire(ctx context.Context, name string, r registry.AcquireRequest) (a registry.ClaimStatus, err error) {
	err = g.call(ctx, r.Name, func() error {
		got := g.apply(registry.Command{Op: registry.OpAcquireLease, Lease: &registry.LeaseCommand{Name: name, Claim: r.Claim, Wait: r.Wait}})
		a = registry.ClaimStatus{Lease: name, ClaimID: r.ID, Token: got.Token, QueuePosition: got.QueuePosition}
		return got.Err
	})
	return a, err
}

func (g *fakeRegistry) RenewClaims(ctx context.Context, r registry.RenewClaimsRequest) (a registry.RenewClaimsResponse, err error) {
	err = g.call(ctx, r.Name, func() error {
		a.Claims = g.clock.RenewClaims(g.state.Leases(), r.Holder, r.Claims, time.Now())
		return nil
	})
	return a, err
}

func (g *fakeRegistry) Release(ctx context.Context, name string, r registry.ReleaseRequest) error {
	return g.call(ctx, r.Name, func() error {
		return g.apply(registry.Command{Op: registry.OpReleaseLease, Lease: &registry.LeaseCommand{Name: name, Claim: registry.Claim{ID: r.ClaimID, Holder: r.Holder}, NextHolder: r.NextHolder}}).Err
	})
}

func (g *fakeRegistry) Leases(ctx context.Context, after uint64, wait time.Duration) (registry.LeasesResponse, error) {
	until := time.Now().Add(wait)
	for {
		g.mu.Lock()
		all, v := g.state.Leases().List()
		g.mu.Unlock()
		if v > after || !time.Now().Before(until) {
			return registry.LeasesResponse{Version: v, Leases: all}, nil
		}
		select {
		case <-ctx.Done():
			return registry.LeasesResponse{}, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

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
