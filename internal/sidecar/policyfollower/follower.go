// Package policyfollower keeps a sidecar on the current fleet policy: it joins the roster that rollouts
// wait for, applies the policy that the registry publishes, and acknowledges it. docs/POLICY.md
// describes rollouts; the decisions are made in internal/rollout.
package policyfollower

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
	"barleywick/internal/shutdown"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/outcome"
)

const (
	// callTimeout bounds one call to the registry. It allows for a leader election during the call.
	callTimeout  = 5 * time.Second
	longPollWait = 4 * time.Second // how long the registry may hold a request for a newer view
	// countsInterval is how often request counts are reported while canaries are compared with the other sidecars.
	countsInterval = time.Second
	// retryBackoff is the mean pause after a call that failed.
	retryBackoff = 200 * time.Millisecond
	// storeFallbackDelay is how long a starting sidecar tries to reach the registry before it falls back to
	// its policy store.
	storeFallbackDelay = 5 * time.Second
)

// Enforcer applies a policy to a sidecar; a nil document means that only the sidecar's own configuration applies.
type Enforcer interface {
	EnforcePolicy(ctx context.Context, d *rollout.Document) error
}

// Follower applies the fleet policy to a sidecar. The sidecar's own configuration remains an upper limit:
// the stricter of the two applies. Its methods may be called concurrently, except Run, which is called once.
type Follower struct {
	tenants   []string
	client    *client.Client
	leases    *lease.Manager
	store     store
	enforcer  Enforcer
	startedAt time.Time

	requests, refused, failed, late atomic.Uint64 // totals since the start
	reportedAt                      time.Time     // when the totals were last reported

	admitting     atomic.Bool // a policy is in force
	leaseRequired atomic.Bool // requests are admitted only while the roster lease is held
	lease         atomic.Pointer[lease.Handle]
	cancelLease   context.CancelFunc // stops holding the lease; nil: not being held

	mu          sync.Mutex
	pollFailed  bool // the last long poll failed: the next call does not wait
	state       *rollout.Follower
	active      rollout.ActivePolicy // the policy in force
	activeSince time.Time
	fromStore   bool // active was loaded from the store
}

// New returns a Follower for a sidecar whose configuration has a policy table.
func New(c *config.Config, e Enforcer) (*Follower, error) {
	registryClient, err := client.New(c.FleetPolicy.Registry, c.Seed)
	if err != nil {
		return nil, err
	}
	f := &Follower{
		tenants: c.Tenants, client: registryClient.WithAddressMap(c.FleetPolicy.AddressMap),
		store: store{c.FleetPolicy.Folder}, enforcer: e, startedAt: time.Now(),
	}
	self := rollout.Member{Name: c.Name, Incarnation: uint64(f.startedAt.UnixMicro())}
	f.state = &rollout.Follower{Self: self, Supports: f.checkSupported}
	if c.FleetPolicy.Machine != "" {
		f.state.Process = rollout.Process{
			Machine: c.FleetPolicy.Machine, PID: os.Getpid(), StartTicks: rollout.ProcessStartTicks(os.Getpid()),
		}
	}
	f.leases = lease.NewManager(lease.Options{
		Registry: registryClient, TTL: time.Duration(c.FleetPolicy.LeaseMS) * time.Millisecond,
		Holder: registry.Holder{Name: self.Name, Incarnation: self.Incarnation},
	})
	return f, nil
}

// checkSupported returns an error if this sidecar cannot apply a document.
func (f *Follower) checkSupported(d *rollout.Document) error {
	if err := d.Check(); err != nil {
		return err
	}
	for i, t := range d.Tenants {
		onlyTenant := len(f.tenants) == 0 && t.Name == ""
		if !slices.Contains(f.tenants, t.Name) && !onlyTenant {
			return fmt.Errorf("tenants[%d].name %q is not in this sidecar's settings", i, t.Name)
		}
	}
	return nil
}

// RecordRequest counts a finished request for the comparison of canaries with the other sidecars.
func (f *Follower) RecordRequest(o outcome.Outcome) {
	f.requests.Add(1)
	switch o {
	case outcome.Refused:
		f.refused.Add(1)
	case outcome.Failed:
		f.failed.Add(1)
	case outcome.Late:
		f.late.Add(1)
	}
}

func (f *Follower) counts() rollout.RequestCounts {
	return rollout.RequestCounts{Requests: f.requests.Load(), Refused: f.refused.Load(), Failed: f.failed.Load(), Late: f.late.Load()}
}

// Admitting reports whether the fleet policy currently allows new requests to be admitted.
func (f *Follower) Admitting() bool {
	if !f.admitting.Load() {
		return false
	}
	if !f.leaseRequired.Load() {
		return true
	}
	held := f.lease.Load()
	return held != nil && held.Held()
}

// Run follows the policy until ctx is done, and then leaves the roster. It returns an error if this
// sidecar does not support the policy in force.
func (f *Follower) Run(ctx context.Context) error {
	defer f.client.Close()
	leasesCtx, endLeases := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer endLeases()
	tasks.Go(func() { f.leases.Run(leasesCtx) })
	defer f.releaseLease()
	for ctx.Err() == nil {
		if err := f.applyActive(ctx); err != nil {
			return err
		}
		if f.leaseRequired.Load() {
			f.acquireLease(ctx, &tasks)
		} else {
			f.releaseLease()
		}
		if err := f.synchronize(ctx); err != nil && ctx.Err() == nil {
			slog.Warn("policy: registry unreachable", "err", err)
			f.applyStored(ctx)
			select {
			case <-time.After(retryBackoff/2 + rand.N(retryBackoff)):
			case <-ctx.Done():
			}
		}
	}
	f.leaveRoster(ctx)
	return nil
}

// applyActive applies the policy of the registry's latest view.
func (f *Follower) applyActive(ctx context.Context) error {
	f.mu.Lock()
	unsupported := f.state.Fatal()
	active, ok := f.state.Active()
	epoch, _, _ := f.state.Summary()
	f.mu.Unlock()
	if unsupported != nil {
		f.leaveRoster(ctx)
		return fmt.Errorf("policy: epoch %d is not supported by this sidecar: %w", epoch, unsupported)
	}
	if !ok {
		f.stopAdmitting()
		return nil
	}
	return f.apply(ctx, active)
}

// stopAdmitting refuses new requests because there is no policy to apply, unless the policy in force was
// loaded from the store.
func (f *Follower) stopAdmitting() {
	f.mu.Lock()
	fromStore := f.fromStore
	f.mu.Unlock()
	if !fromStore && f.admitting.Swap(false) {
		slog.Error("policy: no longer in the roster, refusing new requests")
	}
}

// apply stores a policy, enforces it, and only then marks it active.
func (f *Follower) apply(ctx context.Context, p rollout.ActivePolicy) error {
	if f.isInForce(p) {
		return nil
	}
	if err := f.store.save(p); err != nil {
		slog.Error("policy: store cannot be written", "err", err)
		if p.JointChange != 0 { // refusing it aborts the change, which is still possible in this stage
			f.mu.Lock()
			f.state.Refuse(err)
			f.mu.Unlock()
			return nil
		}
	}
	document := p.Effective()
	if err := f.enforcer.EnforcePolicy(ctx, document); err != nil {
		return err
	}
	f.setActive(p, false)
	f.leaseRequired.Store(document != nil && document.Mode == rollout.ModeRefuse)
	f.admitting.Store(true)
	slog.Info("policy: in force", "epoch", p.Epoch, "joint_with", p.JointChange)
	return nil
}

func (f *Follower) isInForce(p rollout.ActivePolicy) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.admitting.Load() && p.Epoch == f.active.Epoch && p.JointChange == f.active.JointChange && !f.fromStore
}

func (f *Follower) setActive(p rollout.ActivePolicy, fromStore bool) {
	f.mu.Lock()
	f.active, f.activeSince, f.fromStore = p, time.Now(), fromStore
	f.mu.Unlock()
}

// applyStored applies the stored policy while the registry is unreachable. It does so only before the
// first view was received, and only for a policy whose mode allows serving without the registry.
func (f *Follower) applyStored(ctx context.Context) {
	if f.admitting.Load() || !f.store.enabled() || time.Since(f.startedAt) < storeFallbackDelay || f.state.Version() != 0 {
		return
	}
	p, err := shutdown.Await(ctx, f.store.load)
	if errors.Is(err, os.ErrNotExist) || ctx.Err() != nil {
		return
	}
	if err != nil {
		slog.Error("policy: store unusable", "file", f.store.path(), "err", err)
		return
	}
	document := p.Effective()
	if document != nil && (document.Mode == rollout.ModeRefuse || f.checkSupported(document) != nil) {
		return // requires the registry, or is not supported by this sidecar
	}
	if err := f.enforcer.EnforcePolicy(ctx, document); err != nil {
		return
	}
	f.setActive(p, true)
	f.admitting.Store(true)
	slog.Error("policy: registry unreachable, serving by the policy store", "epoch", p.Epoch, "joint_with", p.JointChange)
}
