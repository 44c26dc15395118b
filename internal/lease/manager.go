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

// watchWait is how long one call that watches the leases waits for a change.
const watchWait = 4 * time.Second

// Registry is the part of the registry that a Manager calls; client.Client implements it.
type Registry interface {
	Acquire(ctx context.Context, name string, r registry.AcquireRequest) (registry.ClaimStatus, error)
	RenewClaims(ctx context.Context, r registry.RenewClaimsRequest) (registry.RenewClaimsResponse, error)
	Release(ctx context.Context, name string, r registry.ReleaseRequest) error
	Leases(ctx context.Context, after uint64, wait time.Duration) (registry.LeasesResponse, error)
}

// Options configure a Manager.
type Options struct {
	Registry Registry
	Holder   registry.Holder
	TTL      time.Duration
	Clock    func() time.Duration          // nil: BootTime
	OnChange func(registry.LeasesResponse) // called when any lease has changed; may be nil
}

// Manager claims the leases of one process and renews them. Run must be running while any
// lease is claimed. A Manager is safe for concurrent use.
type Manager struct {
	options Options
	wakeup  chan struct{} // makes Run renew at once

	mu      sync.Mutex
	handles map[string]*Handle // by claim id

	grants, lapses atomic.Uint64
}

// NewManager returns a Manager, which renews and watches only while Run is running.
func NewManager(o Options) *Manager {
	if o.Clock == nil {
		o.Clock = BootTime
	}
	return &Manager{options: o, wakeup: make(chan struct{}, 1), handles: make(map[string]*Handle)}
}

// Counts returns how often a lease was granted to this process, and how often one lapsed
// while its task ran.
func (m *Manager) Counts() (grants, lapses uint64) { return m.grants.Load(), m.lapses.Load() }

// Holder returns the process that claims the leases.
func (m *Manager) Holder() registry.Holder { return m.options.Holder }

// renewInterval is the mean time between two renewals.
func (m *Manager) renewInterval() time.Duration { return m.options.TTL / renewalsPerTTL }

// Run renews claims and watches the leases until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var watch sync.WaitGroup
	watch.Go(func() { m.watch(ctx) })
	defer watch.Wait()
	for ctx.Err() == nil {
		m.renewClaims(ctx)
		pause := m.renewInterval()
		select {
		case <-time.After(pause*3/4 + mathrand.N(pause/2)):
		case <-m.wakeup:
		case <-ctx.Done():
		}
	}
}

// watch watches the leases, so that a grant from the queue or a yield request is noticed at
// once instead of at the next renewal. It may be late or fail: safety does not depend on
// it.
func (m *Manager) watch(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, 2*watchWait)
		leases, err := m.options.Registry.Leases(callCtx, after, watchWait)
		cancel()
		if err != nil {
			after = 0 // the replica that answers next may have an older version
			select {
			case <-time.After(m.renewInterval()):
			case <-ctx.Done():
			}
			continue
		}
		after = leases.Version
		if m.needsRenewal(leases) {
			m.wake()
		}
		if m.options.OnChange != nil {
			m.options.OnChange(leases)
		}
	}
}

// needsRenewal reports whether a renewal would change a session of this process: its claim
// was granted, or a yield of its lease was requested.
func (m *Manager) needsRenewal(leases registry.LeasesResponse) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range leases.Leases {
		if l.Grant == nil {
			continue
		}
		h := m.handles[l.Grant.ID]
		if h != nil && (h.session.Token() == 0 || l.YieldRequested) {
			return true
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

// claims returns the claims of this process in the order of their ids.
func (m *Manager) claims() []registry.ClaimRef {
	m.mu.Lock()
	defer m.mu.Unlock()
	claims := make([]registry.ClaimRef, 0, len(m.handles))
	for id, h := range m.handles {
		claims = append(claims, registry.ClaimRef{Lease: h.session.LeaseName, ClaimID: id})
	}
	slices.SortFunc(claims, func(a, b registry.ClaimRef) int { return cmp.Compare(a.ClaimID, b.ClaimID) })
	return claims
}

// renewClaims renews all claims.
func (m *Manager) renewClaims(ctx context.Context) {
	for claims := range slices.Chunk(m.claims(), registry.MaxRenewals) {
		callCtx, cancel := context.WithTimeout(ctx, m.options.TTL/2)
		sentAt := m.options.Clock() // before the call, so that the leader measures from a later time
		response, err := m.options.Registry.RenewClaims(callCtx, registry.RenewClaimsRequest{Holder: m.options.Holder, Claims: claims})
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				slog.Warn("lease: renewal failed", "holder", m.options.Holder.Name, "claims", len(claims), "err", err)
			}
			continue
		}
		m.handleRenewals(response.Claims, sentAt)
	}
}

// handleRenewals passes the results of one renewal call to their sessions.
func (m *Manager) handleRenewals(claims []registry.ClaimStatus, sentAt time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	for _, status := range claims {
		h := m.handles[status.ClaimID]
		if h == nil || h.session.LeaseName != status.Lease {
			continue
		}
		h.session.Renewed(status, sentAt, now)
		h.notifyChanged()
	}
}
