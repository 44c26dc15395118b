package lease

import (
	"context"
	"errors"
	"sync"
	"testing"
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
