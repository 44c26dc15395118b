package policyfollower

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/outcome"
)

const (
	// policyCallIn is for one call, an election's length included.
	policyCallIn = 5 * time.Second
	policyWatch  = 4 * time.Second
	// reportEvery is how often counts are reported while a few go ahead with a change.
	reportEvery = time.Second
	// policyAgain is the pause after a call that failed.
	policyAgain = 200 * time.Millisecond
	// askFirst is how long a start asks the registry before it serves by its folder.
	askFirst = 5 * time.Second
)

// Follower keeps a sidecar to the fleet's policy: it holds the sidecar's seat, puts in
// force what is to be acted by, and says so. What the sidecar's own file says stays the
// most that it may: the stricter of both counts.
type Follower struct {
	config    *config.FleetPolicy
	tenants   []string
	client    *client.Client
	leases    *lease.Manager
	enforcer  Enforcer
	startedAt time.Time

	requests, refused, failed, late atomic.Uint64 // requests since the start
	reportedAt                      time.Time

	admitting     atomic.Bool // it has what to act by
	leaseRequired atomic.Bool // and only while it holds its lease
	leaseTerm     atomic.Pointer[lease.Handle]

	mu          sync.Mutex
	follower    *rollout.Follower
	acting      rollout.ActivePolicy
	actingSince time.Time
	fromStore   bool // it acts by its folder
}

// Enforcer puts a policy into force at a sidecar; nil means that its own configuration counts alone.
type Enforcer interface {
	EnforcePolicy(ctx context.Context, d *rollout.Document) error
}

// New makes the follower of a sidecar whose configuration names a fleet policy.
func New(c *config.Config, enforce Enforcer) (*Follower, error) {
	r, err := client.New(c.FleetPolicy.Registry, c.Seed)
	if err != nil {
		return nil, err
	}
	g := &Follower{config: c.FleetPolicy, tenants: c.Tenants, client: r.WithAddressMap(c.FleetPolicy.AddressMap), enforcer: enforce, startedAt: time.Now()}
	me := rollout.Member{Name: c.Name, Incarnation: uint64(g.startedAt.UnixMicro())}
	g.follower = &rollout.Follower{Self: me, Supports: g.checkSupported}
	if c.FleetPolicy.Machine != "" {
		g.follower.Process = rollout.Process{Machine: c.FleetPolicy.Machine, PID: os.Getpid(), StartTicks: rollout.ProcessStartTicks(os.Getpid())}
	}
	g.leases = lease.NewManager(lease.Options{
		Registry: r, TTL: time.Duration(c.FleetPolicy.LeaseMS) * time.Millisecond, Holder: registry.Holder{Name: me.Name, Incarnation: me.Incarnation},
	})
	return g, nil
}

// checkSupported says whether this sidecar could act by a document.
func (g *Follower) checkSupported(d *rollout.Document) error {
	if err := d.Check(); err != nil {
		return err
	}
	for i, t := range d.Tenants {
		if !slices.Contains(g.tenants, t.Name) && !(len(g.tenants) == 0 && t.Name == "") {
			return fmt.Errorf("tenants[%d].name %q is not in this sidecar's settings", i, t.Name)
		}
	}
	return nil
}

// RecordRequest counts the end of a request, for the comparison of those that go ahead.
func (g *Follower) RecordRequest(o outcome.Outcome) {
	g.requests.Add(1)
	switch o {
	case outcome.Refused:
		g.refused.Add(1)
	case outcome.Failed:
		g.failed.Add(1)
	case outcome.Late:
		g.late.Add(1)
	}
}

func (g *Follower) counts() rollout.RequestCounts {
	return rollout.RequestCounts{Requests: g.requests.Load(), Refused: g.refused.Load(), Failed: g.failed.Load(), Late: g.late.Load()}
}

// Admitting says whether a new request Admitting be taken now.
func (g *Follower) Admitting() bool {
	if !g.admitting.Load() {
		return false
	}
	if !g.leaseRequired.Load() {
		return true
	}
	t := g.leaseTerm.Load()
	return t != nil && t.Held()
}

// Run keeps to the policy until ctx ends, and gives the seat up then. It returns an
// error where this sidecar cannot act by the policy in force.
func (g *Follower) Run(ctx context.Context) error {
	defer g.client.Close()
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	var beside sync.WaitGroup
	defer beside.Wait()
	defer end()
	beside.Go(func() { g.leases.Run(life) })
	var hold context.CancelFunc = func() {}
	defer func() { hold() }()
	holding := false
	for ctx.Err() == nil {
		g.mu.Lock()
		fatal := g.follower.Fatal()
		acts, may := g.follower.Active()
		g.mu.Unlock()
		if fatal != nil {
			g.leaveRoster(ctx)
			return fmt.Errorf("policy: epoch %d cannot be acted by here: %w", acts.Epoch, fatal)
		}
		if err := g.apply(ctx, acts, may); err != nil {
			return err
		}
		if want := g.leaseRequired.Load(); want != holding {
			if hold(); want {
				in, cancel := context.WithCancel(ctx)
				hold = cancel
				beside.Go(func() { g.holdRosterLease(in) })
			}
			holding = want
		}
		if err := g.synchronize(ctx); err != nil && ctx.Err() == nil {
			slog.Warn("policy: the registry is out of reach", "err", err)
			g.applyStored(ctx)
			select {
			case <-time.After(policyAgain/2 + rand.N(policyAgain)):
			case <-ctx.Done():
			}
		}
	}
	g.leaveRoster(ctx)
	return nil
}

// apply puts in force what is to be acted by, keeps it in the folder, and only then counts.
func (g *Follower) apply(ctx context.Context, acts rollout.ActivePolicy, may bool) error {
	g.mu.Lock()
	same := g.admitting.Load() && may && acts.Epoch == g.acting.Epoch && acts.JointChange == g.acting.JointChange && !g.fromStore
	by := g.fromStore
	g.mu.Unlock()
	if same {
		return nil
	}
	if !may {
		if !by && g.admitting.Swap(false) {
			slog.Error("policy: this sidecar has no seat any more and refuses new requests")
		}
		return nil
	}
	d := acts.Effective()
	if err := g.save(acts); err != nil {
		slog.Error("policy: the folder cannot be written", "err", err)
		if acts.JointChange != 0 { // there is a way back still
			g.mu.Lock()
			g.follower.Refuse(err)
			g.mu.Unlock()
			return nil
		}
	}
	if err := g.enforcer.EnforcePolicy(ctx, d); err != nil {
		return err
	}
	g.mu.Lock()
	g.acting, g.actingSince, g.fromStore = acts, time.Now(), false
	g.mu.Unlock()
	g.leaseRequired.Store(d != nil && d.Mode == rollout.ModeRefuse)
	g.admitting.Store(true)
	slog.Info("policy: in force", "epoch", acts.Epoch, "joint_with", acts.JointChange)
	return nil
}

// synchronize says what is to be said, or waits for news.
func (g *Follower) synchronize(ctx context.Context) error {
	g.mu.Lock()
	step, any := g.follower.NextCommand()
	me, version := g.follower.Self, g.follower.Version()
	wait := policyWatch
	if number, wanted := g.follower.ReportsWanted(); wanted && !any {
		if wait = reportEvery - time.Since(g.reportedAt); wait <= 0 {
			step, any, g.reportedAt = rollout.Command{Op: rollout.OpReport, Member: me, ChangeNumber: number, Counts: g.counts()}, true, time.Now()
		}
	}
	g.mu.Unlock()
	var v rollout.View
	var err error
	if any {
		in, cancel := context.WithTimeout(ctx, policyCallIn)
		defer cancel()
		v, err = g.client.ApplyPolicyStep(in, step, nil)
	} else {
		in, cancel := context.WithTimeout(ctx, policyWatch+policyCallIn)
		defer cancel()
		v, err = g.client.PolicyView(in, me, version, wait)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		g.follower.HandleResult(step, nil)
		if step.Refusal != "" {
			slog.Warn("policy: refused here", "change", step.ChangeNumber, "why", step.Refusal)
		}
		g.follower.HandleView(v)
	case errors.Is(err, registry.ErrNotFound):
		g.follower.HandleResult(step, rollout.ErrNotFound)
		return nil
	case errors.Is(err, registry.ErrConflict) && step.Op == rollout.OpJoin: // evicted, or a later process has the name
		g.follower.LostMembership()
	case errors.Is(err, registry.ErrConflict): // what it has is out of date
		g.mu.Unlock()
		v, err = g.client.PolicyView(ctx, me, 0, 0)
		g.mu.Lock()
		if err == nil {
			g.follower.HandleView(v)
		}
	}
	return err
}

// holdRosterLease holds the lease under which this sidecar serves, where the policy says so.
func (g *Follower) holdRosterLease(ctx context.Context) {
	name := registry.RosterLeasePrefix + g.follower.Self.Name
	err := g.leases.Hold(ctx, name, func(ctx context.Context, t *lease.Handle) error {
		g.leaseTerm.Store(t)
		defer g.leaseTerm.Store(nil)
		<-ctx.Done()
		return ctx.Err()
	})
	if ctx.Err() == nil {
		slog.Error("policy: the seat's lease cannot be held", "lease", name, "err", err)
	}
}

// leaveRoster gives the seat up: no change waits for this sidecar, and what it held must
// not be served by any more.
func (g *Follower) leaveRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), policyCallIn/2)
	defer cancel()
	if _, err := g.client.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpLeave, Member: g.follower.Self}, nil); err != nil {
		slog.Warn("policy: the seat is not given up: a change waits for this name until it starts again or is evicted", "err", err)
		return
	}
	if g.config.Folder != "" {
		if err := os.Remove(g.storePath()); err != nil && !errors.Is(err, os.ErrNotExist) {
			slog.Warn("policy: the folder keeps what was held", "err", err)
		}
	}
}

// storedPolicy is what the folder holds: what was acted by last.
type storedPolicy struct {
	Checksum string          `json:"sum"` // of acts
	Acting   json.RawMessage `json:"acts"`
}

func (g *Follower) storePath() string { return filepath.Join(g.config.Folder, "policy.json") }

// save keeps what is about to be acted by. It is written before the registry is told:
// a process that starts again holds no less than this one has confirmed.
func (g *Follower) save(acts rollout.ActivePolicy) error {
	if g.config.Folder == "" {
		return nil
	}
	text, err := json.Marshal(acts)
	if err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	if text, err = json.Marshal(storedPolicy{rollout.Checksum(text), text}); err == nil {
		err = writeAtomic(g.storePath(), text)
	}
	if err != nil {
		return fmt.Errorf("policy: keep what is held: %w", err)
	}
	return nil
}

// writeAtomic writes a file whole or not at all.
func writeAtomic(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// applyStored serves by the folder while nobody can be asked: only a start does, and only
// under a policy that lets sidecars carry on.
func (g *Follower) applyStored(ctx context.Context) {
	if g.admitting.Load() || g.config.Folder == "" || time.Since(g.startedAt) < askFirst || g.follower.Version() != 0 {
		return
	}
	var k storedPolicy
	var acts rollout.ActivePolicy
	text, err := os.ReadFile(g.storePath())
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err == nil && rollout.Checksum(k.Acting) != k.Checksum {
		err = errors.New("its checksum is wrong")
	}
	if err == nil {
		err = json.Unmarshal(k.Acting, &acts)
	}
	if err != nil {
		slog.Error("policy: what the folder holds is of no use", "file", g.storePath(), "err", err)
		return
	}
	d := acts.Effective()
	if d != nil && (d.Mode == rollout.ModeRefuse || g.checkSupported(d) != nil) {
		return // not enough to serve by
	}
	if err := g.enforcer.EnforcePolicy(ctx, d); err != nil {
		return
	}
	g.mu.Lock()
	g.acting, g.actingSince, g.fromStore = acts, time.Now(), true
	g.mu.Unlock()
	g.admitting.Store(true)
	slog.Error("policy: nobody can be asked: serving by what the folder holds", "epoch", acts.Epoch, "joint_with", acts.JointChange)
}

// Status tells how a sidecar stands towards the fleet's policy.
type Status struct {
	Epoch, JointChange uint64
	Stage              rollout.Stage
	Since              time.Time
	Admitting          bool // new requests are taken
	FromStore          bool // it serves by its folder
	RefusalReason      string
}

func (g *Follower) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, stage, refused := g.follower.Summary()
	return Status{Epoch: g.acting.Epoch, JointChange: g.acting.JointChange, Stage: stage, Since: g.actingSince, Admitting: g.Admitting(), FromStore: g.fromStore, RefusalReason: refused}
}

func (s Status) String() string {
	text := fmt.Sprintf("epoch %d, %s", s.Epoch, s.Stage)
	if s.JointChange != 0 {
		text += fmt.Sprintf(", joint with %d", s.JointChange)
	}
	if !s.Since.IsZero() {
		text += ", since " + s.Since.UTC().Format(time.RFC3339)
	}
	if s.FromStore {
		text += ", by the folder: nobody can be asked"
	}
	if !s.Admitting {
		text += ", refusing new requests"
	}
	if s.RefusalReason != "" {
		text += ", refused the change: " + s.RefusalReason
	}
	return text
}
