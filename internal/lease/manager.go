package lease

import (
	"cmp"
	"context"
	"log/slog"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
