package lease

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"barleywick/internal/registry"
)

const ttl = 6 * time.Second

var errLost = errors.New("lost")

// lossMode selects which messages of a holder's calls are lost.
type lossMode int

const (
	lossNone lossMode = iota
	lossOfCalls
	lossOfAnswers
)

// fakeRegistry is a registry of one replica without a network: the real state machine and
// the leader's real claim tracker, on the bubble's clock.
type fakeRegistry struct {
	mu      sync.Mutex
	state   *registry.State
	tracker *registry.ClaimTracker
	lost    map[string]lossMode // by holder
}

func newFakeRegistry(t *testing.T) *fakeRegistry {
	t.Helper()
	r := &fakeRegistry{state: registry.NewState(), tracker: registry.NewClaimTracker(ttl), lost: make(map[string]lossMode)}
	r.apply(registry.Command{Op: registry.OpFoundGroup, Group: "g", AtMS: 1_700_000_000_000})
	r.apply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	return r
}

func (r *fakeRegistry) apply(c registry.Command) registry.Result {
	result := r.state.Apply(c)
	r.tracker.Sync(r.state.Leases(), time.Now())
	return result
}

// runLeader ends expired claims until ctx ends.
func (r *fakeRegistry) runLeader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
		r.mu.Lock()
		expired, _ := r.tracker.TakeExpired(time.Now())
		r.apply(registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: expired}})
		r.mu.Unlock()
	}
}

// call makes a holder's call, unless the call or its answer is lost.
func (r *fakeRegistry) call(ctx context.Context, holder string, effect func() error) error {
	r.mu.Lock()
	lost := r.lost[holder]
	var err error
	if lost != lossOfCalls {
		err = effect()
	}
	r.mu.Unlock()
	if lost != lossNone {
		<-ctx.Done()
		return errLost
	}
	return err
}

func (r *fakeRegistry) setLoss(holder string, l lossMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[holder] = l
}

func (r *fakeRegistry) Acquire(ctx context.Context, name string, q registry.AcquireRequest) (status registry.ClaimStatus, err error) {
	err = r.call(ctx, q.Name, func() error {
		result := r.apply(registry.Command{Op: registry.OpAcquireLease, Lease: &registry.LeaseCommand{Name: name, Claim: q.Claim, Wait: q.Wait}})
		status = registry.ClaimStatus{Lease: name, ClaimID: q.ID, Token: result.Token, QueuePosition: result.QueuePosition}
		return result.Err
	})
	return status, err
}

func (r *fakeRegistry) RenewClaims(ctx context.Context, q registry.RenewClaimsRequest) (response registry.RenewClaimsResponse, err error) {
	err = r.call(ctx, q.Name, func() error {
		response.Claims = r.tracker.RenewClaims(r.state.Leases(), q.Holder, q.Claims, time.Now())
		return nil
	})
	return response, err
}

func (r *fakeRegistry) Release(ctx context.Context, name string, q registry.ReleaseRequest) error {
	return r.call(ctx, q.Name, func() error {
		return r.apply(registry.Command{Op: registry.OpReleaseLease, Lease: &registry.LeaseCommand{
			Name: name, Claim: registry.Claim{ID: q.ClaimID, Holder: q.Holder}, NextHolder: q.NextHolder,
		}}).Err
	})
}

func (r *fakeRegistry) Leases(ctx context.Context, after uint64, wait time.Duration) (registry.LeasesResponse, error) {
	deadline := time.Now().Add(wait)
	for {
		r.mu.Lock()
		leases, version := r.state.Leases().List()
		r.mu.Unlock()
		if version > after || !time.Now().Before(deadline) {
			return registry.LeasesResponse{Version: version, Leases: leases}, nil
		}
		select {
		case <-ctx.Done():
			return registry.LeasesResponse{}, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}
