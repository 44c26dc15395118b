package lease

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"barleywick/internal/registry"
)

// Registry is what a member needs of it; client.Client is one.
type Registry interface {
	Acquire(ctx context.Context, name string, r registry.AcquireRequest) (registry.ClaimStatus, error)
	RenewClaims(ctx context.Context, r registry.RenewClaimsRequest) (registry.RenewClaimsResponse, error)
	Release(ctx context.Context, name string, r registry.ReleaseRequest) error
	Leases(ctx context.Context, after uint64, wait time.Duration) (registry.LeasesResponse, error)
}

const (
	// watchWait is how long one call for news of the leases waits.
	watchWait = 4 * time.Second
	// releaseTimeout is how long a release may take: it only spares the next holder a wait.
	releaseTimeout = 2 * time.Second
)

// Options are what a Member needs.
type Options struct {
	Registry Registry
	Holder   registry.Holder
	TTL      time.Duration
	Clock    func() time.Duration // nil: Boottime
	OnChange func(registry.LeasesResponse)
}

// BootTime reads a clock that neither steps nor stops while the machine sleeps: a
// holder that was suspended must not find that no time has passed.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("lease: no clock: %v", err)) // without one nothing may be held
	}
	return time.Duration(t.Nano())
}

// Manager is one process that claims leases. Run has to be at work for as long as any
// is claimed. It is safe for concurrent use.
type Manager struct {
	Options
	wakeup chan struct{}

	mu      sync.Mutex
	handles map[string]*Handle // by the claim's id

	grants, lapses atomic.Uint64
}

// NewManager makes a Member.
func NewManager(o Options) *Manager {
	if o.Clock == nil {
		o.Clock = BootTime
	}
	return &Manager{Options: o, wakeup: make(chan struct{}, 1), handles: make(map[string]*Handle)}
}

// Counts returns how often a lease was granted to it and has lapsed.
func (m *Manager) Counts() (grants, lapses uint64) { return m.grants.Load(), m.lapses.Load() }

// Handle is a task's view of the lease that it runs under.
type Handle struct {
	manager *Manager
	session Session // under the member's lock
	changed chan struct{}
}

// LeaseName is the lease's.
func (t *Handle) LeaseName() string { return t.session.LeaseName }

// TTL is the lease's time to live.
func (t *Handle) TTL() time.Duration { return t.session.TTL }

// Token is the fencing token of the grant.
func (t *Handle) Token() uint64 {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	return t.session.Token()
}

// Fence makes a write conditional on the grant.
func (t *Handle) Fence() *registry.Fence {
	return &registry.Fence{Lease: t.session.LeaseName, Token: t.Token()}
}

// BeginAct begins one act: it is refused unless the lease is held and lasts for as long as
// the act may take, and gets a context that ends before the lease does. To be called
// right before each act: a process may have been stopped since the last one.
func (t *Handle) BeginAct(ctx context.Context, takes time.Duration) (context.Context, context.CancelFunc, error) {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	now := t.manager.Clock()
	if err := t.session.CheckAct(now, takes); err != nil {
		return nil, nil, err
	}
	in, cancel := context.WithTimeoutCause(ctx, t.session.Deadline()-now, ErrLapsed)
	return in, cancel, nil
}

// Do carries one act out.
func (t *Handle) Do(ctx context.Context, takes time.Duration, act func(ctx context.Context) error) error {
	in, cancel, err := t.BeginAct(ctx, takes)
	if err != nil {
		return err
	}
	defer cancel()
	return act(in)
}

// Run renews claims and follows the leases until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var watch sync.WaitGroup
	watch.Go(func() { m.watch(ctx) })
	defer watch.Wait()
	for ctx.Err() == nil {
		m.renewClaims(ctx)
		pause := m.TTL / renewalsPerTTL
		select {
		case <-time.After(pause*3/4 + mathrand.N(pause/2)):
		case <-m.wakeup:
		case <-ctx.Done():
		}
	}
}

// watch follows the leases, so that a grant from the line or a wish is known at once
// and not with the next renewal. It may be behind or fail: nothing rests on it.
func (m *Manager) watch(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		in, cancel := context.WithTimeout(ctx, 2*watchWait)
		news, err := m.Registry.Leases(in, after, watchWait)
		cancel()
		if err != nil {
			select {
			case <-time.After(m.TTL / renewalsPerTTL):
			case <-ctx.Done():
			}
			after = 0 // whoever answers next may be behind
			continue
		}
		if after = news.Version; m.needsRenewal(news) {
			m.wake()
		}
		if m.OnChange != nil {
			m.OnChange(news)
		}
	}
}

// needsRenewal says whether the news make a renewal worth while.
func (m *Manager) needsRenewal(news registry.LeasesResponse) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range news.Leases {
		if g := l.Grant; g != nil {
			if t := m.handles[g.ID]; t != nil && (t.session.Token() == 0 || l.YieldRequested) {
				return true
			}
		}
	}
	return false
}

func (m *Manager) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// renewClaims gives a sign of life for all claims.
func (m *Manager) renewClaims(ctx context.Context) {
	m.mu.Lock()
	claims := make([]registry.ClaimRef, 0, len(m.handles))
	for id, t := range m.handles {
		claims = append(claims, registry.ClaimRef{Lease: t.session.LeaseName, ClaimID: id})
	}
	m.mu.Unlock()
	slices.SortFunc(claims, func(a, b registry.ClaimRef) int { return cmp.Compare(a.ClaimID, b.ClaimID) })
	for part := range slices.Chunk(claims, registry.MaxRenewals) {
		in, cancel := context.WithTimeout(ctx, m.TTL/2)
		sent := m.Clock() // before the call: however late it comes, the leader counts from later
		a, err := m.Registry.RenewClaims(in, registry.RenewClaimsRequest{Holder: m.Holder, Claims: part})
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				slog.Warn("lease: not renewed", "holder", m.Holder.Name, "claims", len(part), "err", err)
			}
			continue
		}
		m.mu.Lock()
		now := m.Clock()
		for _, c := range a.Claims {
			if t := m.handles[c.ClaimID]; t != nil && t.session.LeaseName == c.Lease {
				t.session.Renewed(c, sent, now)
				t.notifyChanged()
			}
		}
		m.mu.Unlock()
	}
}

// notifyChanged tells whoever waits on the term. The lock is held.
func (t *Handle) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Hold runs a task whenever this process holds a lease, until ctx ends or the task
// returns nil. The task's context ends with the lease; a new claim begins only when
// the task has returned.
func (m *Manager) Hold(ctx context.Context, name string, task func(ctx context.Context, t *Handle) error) error {
	pause := m.TTL / renewalsPerTTL
	for {
		held, err := m.holdOnce(ctx, name, task)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case held && err == nil:
			return nil
		case errors.Is(err, registry.ErrInvalid), errors.Is(err, registry.ErrLimitReached):
			return fmt.Errorf("lease %s: %w", name, err)
		case err != nil:
			slog.Warn("lease: once more", "lease", name, "holder", m.Holder.Name, "err", err)
		}
		select { // a task that fails at once must not make the registry's log grow as fast as it can
		case <-time.After(pause/2 + mathrand.N(pause)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// holdOnce is one claim, from its asking to its end.
func (m *Manager) holdOnce(ctx context.Context, name string, task func(ctx context.Context, t *Handle) error) (held bool, err error) {
	t := &Handle{manager: m, changed: make(chan struct{})}
	t.session = Session{LeaseName: name, ClaimID: rand.Text(), Holder: m.Holder, TTL: m.TTL}
	m.mu.Lock()
	t.session.AcquireSent(m.Clock())
	m.mu.Unlock()
	defer m.release(ctx, t)
	in, cancel := context.WithTimeout(ctx, m.TTL)
	a, err := m.Registry.Acquire(in, name, registry.AcquireRequest{
		Claim: registry.Claim{ID: t.session.ClaimID, Holder: m.Holder, TTLMS: m.TTL.Milliseconds()}, Wait: true,
	})
	cancel()
	if err != nil {
		return false, err
	}
	m.mu.Lock()
	m.handles[t.session.ClaimID] = t
	t.session.Acquired(a, m.Clock())
	m.mu.Unlock()
	if err := t.awaitGrant(ctx); err != nil {
		return false, err
	}
	return true, t.runTask(ctx, task)
}

// status tells how the term stands, and what to wait for.
func (t *Handle) status() (held, over, leave bool, left time.Duration, changed <-chan struct{}) {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	now := t.manager.Clock()
	held, over = t.session.Held(now), t.session.Ended(now)
	_, leave = t.session.YieldRequested()
	return held, over, leave, t.session.Deadline() - now, t.changed
}

// awaitGrant waits in the line.
func (t *Handle) awaitGrant(ctx context.Context) error {
	for {
		held, over, _, _, changed := t.status()
		switch {
		case held:
			return nil
		case over:
			return ErrLapsed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runTask runs the task until it returns; its context ends when the lease does.
func (t *Handle) runTask(ctx context.Context, task func(ctx context.Context, t *Handle) error) error {
	m := t.manager
	m.grants.Add(1)
	log := slog.With("lease", t.LeaseName(), "holder", m.Holder.Name, "token", t.Token())
	log.Info("lease: held")
	in, end := context.WithCancelCause(ctx)
	defer end(nil)
	done := make(chan error, 1)
	go func() { done <- task(in, t) }() // waited for below
	for {
		_, over, leave, left, changed := t.status()
		switch {
		case over:
			m.lapses.Add(1)
			log.Warn("lease: lapsed, its task stops")
			end(ErrLapsed)
			<-done
			return ErrLapsed
		case leave:
			log.Info("lease: asked to give it up")
			end(context.Canceled)
			<-done
			return errYieldRequested
		}
		select {
		case err := <-done:
			log.Info("lease: its task has ended", "err", err)
			return err
		case <-changed:
		case <-time.After(left):
		}
	}
}

var errYieldRequested = errors.New("the lease was asked for")

// release ends the claim when its task has returned.
func (m *Manager) release(ctx context.Context, t *Handle) {
	m.mu.Lock()
	delete(m.handles, t.session.ClaimID)
	t.session.Resign()
	to, _ := t.session.YieldRequested()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	r := registry.ReleaseRequest{ClaimID: t.session.ClaimID, Holder: m.Holder, NextHolder: to}
	err := m.Registry.Release(ctx, t.session.LeaseName, r)
	if to != "" && errors.Is(err, registry.ErrNotFound) { // it has gone meanwhile: whoever waits longest has it next
		r.NextHolder = ""
		err = m.Registry.Release(ctx, t.session.LeaseName, r)
	}
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		slog.Debug("lease: not released, its time will be up", "lease", t.session.LeaseName, "err", err)
	}
}

// Held says whether the lease is held at this moment.
func (t *Handle) Held() bool {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	return t.session.Held(t.manager.Clock())
}

// HandOver asks the term's own task to end, and for the lease to go to another who
// waits for it.
func (t *Handle) HandOver(to string) {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	t.session.RequestYield(to)
	t.notifyChanged()
}
