package server

import (
	"log/slog"
	"time"

	"barleywick/internal/registry"
)

// syncClaimsLocked updates the claim tracker with claims that were added to or removed from
// the state. The caller must hold r.leadership.mu.
func (r *Replica) syncClaimsLocked(now time.Time) {
	r.stateMachine.view(func(s *registry.State) { r.leadership.claims.Sync(s.Leases(), now) })
}

// expireClaims enables the granting of leases when that is due, and ends expired claims.
func (r *Replica) expireClaims(now time.Time, term uint64) {
	l := &r.leadership
	l.mu.Lock()
	r.syncClaimsLocked(now)
	expired, open := l.claims.TakeExpired(now)
	l.mu.Unlock()
	if open {
		if _, err := r.apply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand), Term: term}); err != nil {
			slog.Warn("lease: opening grants failed", "err", err)
			return
		}
		slog.Info("lease: grants opened")
	}
	if len(expired) == 0 {
		return
	}
	if _, err := r.apply(registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: expired}, Term: term}); err != nil {
		slog.Warn("lease: expired claims not ended", "err", err) // retried on the next tick
		return
	}
	r.counters.expiredClaims.Add(uint64(len(expired)))
	for _, claim := range expired {
		slog.Info("lease: claim expired", "lease", claim.Lease, "claim", claim.ClaimID)
	}
}

// renewClaims renews claims as of the time at. The leader verifies that it was still the
// leader after that time. The next leader then starts its term later and gives every claim
// its full TTL, so that no claim expires at the registry before it expires for its holder.
func (r *Replica) renewClaims(holder registry.Holder, claims []registry.ClaimRef, at time.Time) ([]registry.ClaimStatus, error) {
	l := &r.leadership
	l.mu.Lock()
	err, tracker := r.requireLeaderLocked(), l.claims
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := r.verifyLeadership(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := r.requireLeaderLocked(); err != nil {
		return nil, err
	}
	if l.claims != tracker { // leadership was lost and regained: the verification applies to an earlier term
		return nil, errNewLeader
	}
	var statuses []registry.ClaimStatus
	r.stateMachine.view(func(s *registry.State) { statuses = l.claims.RenewClaims(s.Leases(), holder, claims, at) })
	for _, status := range statuses {
		if status.Token != 0 || status.QueuePosition != 0 {
			r.counters.renewedClaims.Add(1)
		}
	}
	return statuses, nil
}
