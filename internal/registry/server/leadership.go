package server

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// expiryInterval is the interval at which the leader checks for expired sessions and claims:
// a fraction of the shortest TTL.
const expiryInterval = 100 * time.Millisecond

// leadership is the leader's in-memory state for one term: the last renewal of each session
// and each claim. It is reset when leadership is lost and regained, since another leader may
// have committed entries in between, and may have renewed sessions and claims without this
// replica being informed.
type leadership struct {
	mu              sync.Mutex
	term            uint64
	sessions        *registry.SessionTracker // nil unless this replica leads
	sessionsVersion uint64                   // list version with which sessions was last synchronized
	expiryHeld      bool                     // expiry is suspended: too many sessions expired at once
	claims          *registry.ClaimTracker   // nil unless this replica leads
}

// errNewLeader is returned while a newly elected leader is not ready to serve: it still has
// to apply what its predecessors committed, or to found the group.
var errNewLeader = errors.New("this replica has just been elected")

// followLeadership calls runLeaderTerm for each term in which this replica is the leader.
func (r *Replica) followLeadership() {
	var leading sync.WaitGroup
	stop := func() {}
	defer func() {
		stop()
		leading.Wait()
	}()
	for {
		select {
		case leads := <-r.raft.LeaderCh():
			stop()
			leading.Wait()
			if stop = func() {}; leads {
				ctx, cancel := context.WithCancel(r.ctx)
				stop = cancel
				leading.Go(func() { r.runLeaderTerm(ctx) })
			}
		case <-r.ctx.Done():
			return
		}
	}
}

// runLeaderTerm does the leader's work for one term: it founds the group if that has not
// been done, and removes expired sessions and claims until ctx ends.
func (r *Replica) runLeaderTerm(ctx context.Context) {
	term := r.raft.CurrentTerm()
	if err := r.awaitRaftFuture(func() raft.Future { return r.raft.Barrier(writeTimeout) }); err != nil {
		return // this replica no longer leads
	}
	if _, err := r.apply(registry.Command{Op: registry.OpFoundGroup, Group: r.config.Load().Group}); err != nil {
		slog.Error("registry: founding the group failed", "err", err)
		return
	}
	r.beginTerm(term)
	defer r.endTerm()
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C: // the received time is not used: it may predate a suspension of the process
			if r.requireLeader() != nil {
				continue // LeaderCh is about to report the loss of leadership
			}
			r.expireSessions(time.Now(), term)
			r.expireClaims(time.Now(), term)
		}
	}
}

// beginTerm gives every session and every claim its full TTL, since renewals by the previous
// leader are not replicated.
func (r *Replica) beginTerm(term uint64) {
	config := r.config.Load()
	sessions := registry.NewSessionTracker(config.Sessions.Floor, time.Duration(config.Sessions.WindowMS)*time.Millisecond)
	l := &r.leadership
	l.mu.Lock()
	l.term, l.sessions, l.sessionsVersion = term, sessions, 0
	l.claims = registry.NewClaimTracker(time.Duration(config.Leases.MaxTTLMS) * time.Millisecond)
	r.syncSessionsLocked(time.Now())
	r.syncClaimsLocked(time.Now())
	live := sessions.Len()
	l.mu.Unlock()
	slog.Info("registry: became leader", "term", r.raft.CurrentTerm(), "sessions", live, "seq", r.stateMachine.seq())
}

func (r *Replica) endTerm() {
	l := &r.leadership
	l.mu.Lock()
	l.sessions, l.claims, l.expiryHeld = nil, nil, false
	l.mu.Unlock()
	slog.Info("registry: lost leadership")
}

// checkLeadershipClaim returns an error if this replica must not send messages as the leader
// of a term. node is nil during startup.
func (r *Replica) checkLeadershipClaim(node *raft.Raft, term uint64) error {
	if node == nil {
		return errNotLeaderInTerm
	}
	claim := leadershipClaim{
		state:       node.State(),
		term:        node.CurrentTerm(),
		termPending: r.storage.terms.waiting.Load() > 0,
		diskCall:    r.storage.terms.calls.longestLogWrite(time.Now()),
	}
	return claim.check(term, staleAfterElectionTimeouts*r.config.Load().electionTimeout())
}

// requireLeader returns an error unless this replica leads and has applied what its
// predecessors committed.
func (r *Replica) requireLeader() error {
	_, err := r.requireLeaderTerm()
	return err
}

// requireLeaderTerm is requireLeader, and also returns the term in which this replica leads.
func (r *Replica) requireLeaderTerm() (term uint64, err error) {
	r.leadership.mu.Lock()
	defer r.leadership.mu.Unlock()
	return r.leadership.term, r.requireLeaderLocked()
}

// requireLeaderLocked is requireLeader for a caller that holds r.leadership.mu.
func (r *Replica) requireLeaderLocked() error {
	switch {
	case r.raft.State() != raft.Leader:
		return raft.ErrNotLeader
	case r.leadership.sessions == nil, r.leadership.term != r.raft.CurrentTerm():
		return errNewLeader
	}
	return nil
}
