// Package policyfollower is the sidecar's part that follows the fleet policy: it is a member of the
// roster that rollouts wait for, puts into force what the registry says, and reports that it did.
// docs/POLICY.md describes rollouts; the decisions are internal/rollout's.
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
	// callTimeout is for one call of the registry, the length of an election included.
	callTimeout = 5 * time.Second
	watchWait   = 4 * time.Second
	// countsInterval is how often counts are reported while canaries are compared with the rest.
	countsInterval = time.Second
	// retryBackoff is the mean pause after a call that failed.
	retryBackoff = 200 * time.Millisecond
	// storeAfter is how long a start tries to reach the registry before it serves by its store.
	storeAfter = 5 * time.Second
)

// Enforcer puts a policy into force at a sidecar; nil means that its own configuration counts alone.
type Enforcer interface {
	EnforcePolicy(ctx context.Context, d *rollout.Document) error
}

// Follower keeps a sidecar to the fleet policy. The sidecar's own configuration remains the most
// that it may do: the stricter of both counts. Its methods may be called concurrently, Run once.
type Follower struct {
	tenants   []string
	client    *client.Client
	leases    *lease.Manager
	store     store
	enforcer  Enforcer
	startedAt time.Time

	requests, refused, failed, late atomic.Uint64 // since the start
	reportedAt                      time.Time     // when these were reported last

	admitting     atomic.Bool // there is a policy to act by
	leaseRequired atomic.Bool // and requests are admitted only while the roster lease is held
	lease         atomic.Pointer[lease.Handle]
	stopLease     context.CancelFunc // ends holding the lease; nil: it is not held

	mu          sync.Mutex
	state       *rollout.Follower
	active      rollout.ActivePolicy // what is in force
	activeSince time.Time
	fromStore   bool // active comes from the store
}

// New makes the follower of a sidecar whose configuration names a fleet policy.
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

// checkSupported says whether this sidecar could act by a document.
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

// RecordRequest counts the end of a request, for the comparison of canaries with the rest.
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

// Admitting says whether the fleet policy lets new requests be admitted now.
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

// Run follows the policy until ctx ends, and leaves the roster then. It returns an error if this
// sidecar cannot act by the policy in force.
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

// applyActive puts into force what the registry's latest view says.
func (f *Follower) applyActive(ctx context.Context) error {
	f.mu.Lock()
	unsupported := f.state.Fatal()
	active, ok := f.state.Active()
	epoch, _, _ := f.state.Summary()
	f.mu.Unlock()
	if unsupported != nil {
		f.leaveRoster(ctx)
		return fmt.Errorf("policy: epoch %d cannot be acted by here: %w", epoch, unsupported)
	}
	if !ok {
		f.stopAdmitting()
		return nil
	}
	return f.apply(ctx, active)
}

// stopAdmitting takes that there is no policy to act by, unless this sidecar serves by its store.
func (f *Follower) stopAdmitting() {
	f.mu.Lock()
	fromStore := f.fromStore
	f.mu.Unlock()
	if !fromStore && f.admitting.Swap(false) {
		slog.Error("policy: no longer in the roster, refusing new requests")
	}
}

// apply stores a policy, puts it into force, and only then acts by it.
func (f *Follower) apply(ctx context.Context, p rollout.ActivePolicy) error {
	if f.isInForce(p) {
		return nil
	}
	if err := f.store.save(p); err != nil {
		slog.Error("policy: store cannot be written", "err", err)
		if p.JointChange != 0 { // the change can still be aborted
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

// applyStored serves by the store while the registry cannot be reached: only a start does, and only
// under a policy that lets sidecars carry on.
func (f *Follower) applyStored(ctx context.Context) {
	if f.admitting.Load() || !f.store.enabled() || time.Since(f.startedAt) < storeAfter || f.state.Version() != 0 {
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
		return // not enough to serve by
	}
	if err := f.enforcer.EnforcePolicy(ctx, document); err != nil {
		return
	}
	f.setActive(p, true)
	f.admitting.Store(true)
	slog.Error("policy: registry unreachable, serving by the policy store", "epoch", p.Epoch, "joint_with", p.JointChange)
}
