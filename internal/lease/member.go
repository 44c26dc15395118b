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
	// releaseIn is how long a release may take: it only spares the next holder a wait.
	releaseIn = 2 * time.Second
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
	kick chan struct{}

	mu  sync.Mutex
	all map[string]*Handle // by the claim's id

	grants, lapses atomic.Uint64
}

// NewManager makes a Member.
func NewManager(o Options) *Manager {
	if o.Clock == nil {
		o.Clock = BootTime
	}
	return &Manager{Options: o, kick: make(chan struct{}, 1), all: make(map[string]*Handle)}
}

// Counts returns how often a lease was granted to it and has lapsed.
func (m *Manager) Counts() (grants, lapses uint64) { return m.grants.Load(), m.lapses.Load() }

// Handle is a task's view of the lease that it runs under.
type Handle struct {
	m       *Manager
	tenure  Session // under the member's lock
	changed chan struct{}
}

// LeaseName is the lease's.
func (t *Handle) LeaseName() string { return t.tenure.LeaseName }

// TTL is the lease's time to live.
func (t *Handle) TTL() time.Duration { return t.tenure.TTL }

// Token is the fencing token of the grant.
func (t *Handle) Token() uint64 {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	return t.tenure.Token()
}

// Fence makes a write conditional on the grant.
func (t *Handle) Fence() *registry.Fence {
	return &registry.Fence{Lease: t.tenure.LeaseName, Token: t.Token()}
}

// BeginAct begins one act: it is refused unless the lease is held and lasts for as long as
// the act may take, and gets a context that ends before the lease does. To be called
// right before each act: a process may have been stopped since the last one.
func (t *Handle) BeginAct(ctx context.Context, takes time.Duration) (context.Context, context.CancelFunc, error) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	now := t.m.Clock()
	if err := t.tenure.CheckAct(now, takes); err != nil {
		return nil, nil, err
	}
	in, cancel := context.WithTimeoutCause(ctx, t.tenure.Deadline()-now, ErrLapsed)
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
		m.renew(ctx)
		pause := m.TTL / renewals
		select {
		case <-time.After(pause*3/4 + mathrand.N(pause/2)):
		case <-m.kick:
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
			case <-time.After(m.TTL / renewals):
			case <-ctx.Done():
			}
			after = 0 // whoever answers next may be behind
			continue
		}
		if after = news.Version; m.learn(news) {
			m.wake()
		}
		if m.OnChange != nil {
			m.OnChange(news)
		}
	}
}

// learn says whether the news make a renewal worth while.
func (m *Manager) learn(news registry.LeasesResponse) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range news.Leases {
		if g := l.Grant; g != nil {
			if t := m.all[g.ID]; t != nil && (t.tenure.Token() == 0 || l.YieldRequested) {
				return true
			}
		}
	}
	return false
}

func (m *Manager) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// renew gives a sign of life for all claims.
func (m *Manager) renew(ctx context.Context) {
	m.mu.Lock()
	claims := make([]registry.ClaimRef, 0, len(m.all))
	for id, t := range m.all {
		claims = append(claims, registry.ClaimRef{Lease: t.tenure.LeaseName, ClaimID: id})
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
			if t := m.all[c.ClaimID]; t != nil && t.tenure.LeaseName == c.Lease {
				t.tenure.Renewed(c, sent, now)
				t.note()
			}
		}
		m.mu.Unlock()
	}
}

// note tells whoever waits on the term. The lock is held.
func (t *Handle) note() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Hold runs a task whenever this process holds a lease, until ctx ends or the task
// returns nil. The task's context ends with the lease; a new claim begins only when
// the task has returned.
func (m *Manager) Hold(ctx context.Context, name string, task func(ctx context.Context, t *Handle) error) error {
	pause := m.TTL / renewals
	for {
		held, err := m.once(ctx, name, task)
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

// once is one claim, from its asking to its end.
func (m *Manager) once(ctx context.Context, name string, task func(ctx context.Context, t *Handle) error) (held bool, err error) {
	t := &Handle{m: m, changed: make(chan struct{})}
	t.tenure = Session{LeaseName: name, ClaimID: rand.Text(), Holder: m.Holder, TTL: m.TTL}
	m.mu.Lock()
	t.tenure.AcquireSent(m.Clock())
	m.mu.Unlock()
	defer m.release(ctx, t)
	in, cancel := context.WithTimeout(ctx, m.TTL)
	a, err := m.Registry.Acquire(in, name, registry.AcquireRequest{
		Claim: registry.Claim{ID: t.tenure.ClaimID, Holder: m.Holder, TTLMS: m.TTL.Milliseconds()}, Wait: true,
	})
	cancel()
	if err != nil {
		return false, err
	}
	m.mu.Lock()
	m.all[t.tenure.ClaimID] = t
	t.tenure.Acquired(a, m.Clock())
	m.mu.Unlock()
	if err := t.await(ctx); err != nil {
		return false, err
	}
	return true, t.run(ctx, task)
}

// look tells how the term stands, and what to wait for.
func (t *Handle) look() (held, over, leave bool, left time.Duration, changed <-chan struct{}) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	now := t.m.Clock()
	held, over = t.tenure.Held(now), t.tenure.Ended(now)
	_, leave = t.tenure.YieldRequested()
	return held, over, leave, t.tenure.Deadline() - now, t.changed
}

// await waits in the line.
func (t *Handle) await(ctx context.Context) error {
	for {
		held, over, _, _, changed := t.look()
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

// run runs the task until it returns; its context ends when the lease does.
func (t *Handle) run(ctx context.Context, task func(ctx context.Context, t *Handle) error) error {
	m := t.m
	m.grants.Add(1)
	log := slog.With("lease", t.LeaseName(), "holder", m.Holder.Name, "token", t.Token())
	log.Info("lease: held")
	in, end := context.WithCancelCause(ctx)
	defer end(nil)
	done := make(chan error, 1)
	go func() { done <- task(in, t) }() // waited for below
	for {
		_, over, leave, left, changed := t.look()
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
			return errAsked
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

var errAsked = errors.New("the lease was asked for")

// release ends the claim when its task has returned.
func (m *Manager) release(ctx context.Context, t *Handle) {
	m.mu.Lock()
	delete(m.all, t.tenure.ClaimID)
	t.tenure.Resign()
	to, _ := t.tenure.YieldRequested()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseIn)
	defer cancel()
	r := registry.ReleaseRequest{ClaimID: t.tenure.ClaimID, Holder: m.Holder, NextHolder: to}
	err := m.Registry.Release(ctx, t.tenure.LeaseName, r)
	if to != "" && errors.Is(err, registry.ErrNotFound) { // it has gone meanwhile: whoever waits longest has it next
		r.NextHolder = ""
		err = m.Registry.Release(ctx, t.tenure.LeaseName, r)
	}
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		slog.Debug("lease: not released, its time will be up", "lease", t.tenure.LeaseName, "err", err)
	}
}

// Held says whether the lease is held at this moment.
func (t *Handle) Held() bool {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	return t.tenure.Held(t.m.Clock())
}

// HandOver asks the term's own task to end, and for the lease to go to another who
// waits for it.
func (t *Handle) HandOver(to string) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	t.tenure.RequestYield(to)
	t.note()
}
