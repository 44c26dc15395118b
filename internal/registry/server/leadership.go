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

// expiryInterval is how often the leader looks for sessions and claims that have
// expired: a fraction of the shortest time to live.
const expiryInterval = 100 * time.Millisecond

// leadership is what the leader keeps in memory for one term: when each session and
// each claim was renewed last. A term that was lost and won again starts anew, since
// another leader may have committed entries in between, and may have renewed sessions
// and claims that this replica knows nothing of.
type leadership struct {
	mu              sync.Mutex
	term            uint64
	sessions        *registry.SessionTracker // nil unless this replica leads
	sessionsVersion uint64                   // the list's version that sessions were taken from
	expiryHeld      bool                     // too many sessions ended at once
	claims          *registry.ClaimTracker   // nil unless this replica leads
}

// errNewLeader says that this replica was elected and is not ready to lead: it has to
// apply what its predecessors committed, or to found the group.
var errNewLeader = errors.New("this replica has just been elected")

// followLeadership runs lead in each term in which this replica is the leader.
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
				leading.Go(func() { r.lead(ctx) })
			}
		case <-r.ctx.Done():
			return
		}
	}
}

// lead does the leader's work for one term: it founds the group if nobody has, and
// removes what has expired, until ctx ends.
func (r *Replica) lead(ctx context.Context) {
	term := r.raft.CurrentTerm()
	if err := r.awaitRaftFuture(func() raft.Future { return r.raft.Barrier(writeTimeout) }); err != nil {
		return // this replica is no leader any more
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
		case <-tick.C: // its value may be a time from before this process was stopped
			if r.requireLeader() != nil {
				continue // LeaderCh is about to tell
			}
			r.expireSessions(time.Now(), term)
			r.expireClaims(time.Now(), term)
		}
	}
}

// beginTerm gives every session and every claim its full time, whatever the last leader knew.
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

// checkLeadershipClaim returns an error if this replica must not tell others that it leads
// in a term. node is nil while it starts.
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
	return claim.check(term, staleElections*r.config.Load().electionTimeout())
}

// requireLeader returns an error unless this replica leads and has applied what its
// predecessors committed.
func (r *Replica) requireLeader() error {
	_, err := r.requireLeaderTerm()
	return err
}

// requireLeaderTerm is requireLeader, and returns the term in which the replica leads.
func (r *Replica) requireLeaderTerm() (term uint64, err error) {
	r.leadership.mu.Lock()
	defer r.leadership.mu.Unlock()
	return r.leadership.term, r.requireLeaderLocked()
}

// requireLeaderLocked is requireLeader for a caller that holds the lock of leadership.
func (r *Replica) requireLeaderLocked() error {
	switch {
	case r.raft.State() != raft.Leader:
		return raft.ErrNotLeader
	case r.leadership.sessions == nil, r.leadership.term != r.raft.CurrentTerm():
		return errNewLeader
	}
	return nil
}
