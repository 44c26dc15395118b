package server

import (
	"log/slog"
	"time"

	"barleywick/internal/registry"
)

// syncClaimsLocked takes claims over that have begun or ended in the state. The caller
// holds the lock of leadership.
func (r *Replica) syncClaimsLocked(now time.Time) {
	r.stateMachine.view(func(s *registry.State) { r.leadership.claims.Sync(s.Leases(), now) })
}

// expireClaims opens grants when that is due, and ends the claims that have expired.
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
		slog.Warn("lease: expired claims not ended", "err", err) // the next tick tries again
		return
	}
	r.counters.expiredClaims.Add(uint64(len(expired)))
	for _, claim := range expired {
		slog.Info("lease: claim expired", "lease", claim.Lease, "claim", claim.ClaimID)
	}
}

// renewClaims renews claims as of the time at. The leader has to verify that it still
// led after that time: whoever leads next begins later and gives every claim its full
// time, so no claim can end before its holder counts it as ended.
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
	if l.claims != tracker { // leadership was lost and won again: the verification was of an earlier term
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
