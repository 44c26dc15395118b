package server

import (
	"log/slog"
	"time"

	"barleywick/internal/registry"
)

// syncLeasesLocked lets the clock follow the claims of the state. The lock is held.
func (r *Replica) syncLeasesLocked(now time.Time) {
	r.stateMachine.view(func(s *registry.State) { r.leases.Sync(s.Leases(), now) })
}

// expireClaims ends the claims whose time is up.
func (r *Replica) expireClaims(now time.Time, term uint64) {
	r.mu.Lock()
	r.syncLeasesLocked(now)
	ended, open := r.leases.TakeExpired(now)
	r.mu.Unlock()
	if open {
		if _, err := r.apply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand), Term: term}); err != nil {
			slog.Warn("leases: grants cannot begin", "err", err)
			return
		}
		slog.Info("leases: grants begin")
	}
	if len(ended) == 0 {
		return
	}
	if _, err := r.apply(registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: ended}, Term: term}); err != nil {
		slog.Warn("leases: claims whose time is up are not ended", "err", err) // the next look tries again
		return
	}
	r.ended.Add(uint64(len(ended)))
	for _, e := range ended {
		slog.Info("leases: a claim's time is up", "lease", e.Lease, "claim", e.ClaimID)
	}
}

// renewClaims notes signs of life that came at a time. A leader has to make sure that
// it was one after that time: whoever leads next begins later than that and gives
// every claim its full time, so none can end before its holder's count does.
func (r *Replica) renewClaims(of registry.Holder, claims []registry.ClaimRef, at time.Time) ([]registry.ClaimStatus, error) {
	r.mu.Lock()
	err, clock := r.requireLeaderLocked(), r.leases
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := r.verifyLeadership(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.requireLeaderLocked(); err != nil {
		return nil, err
	}
	if r.leases != clock { // it led, lost that and leads again: what was made sure of is of the past
		return nil, errNewLeader
	}
	var answers []registry.ClaimStatus
	r.stateMachine.view(func(s *registry.State) { answers = r.leases.RenewClaims(s.Leases(), of, claims, at) })
	for _, a := range answers {
		if a.Token != 0 || a.QueuePosition != 0 {
			r.renewals.Add(1)
		}
	}
	return answers, nil
}
