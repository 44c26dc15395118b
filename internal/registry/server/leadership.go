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

// followLeadership leads while this replica is the leader.
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

// lead founds the group if nobody has, and removes instances whose sessions end.
// Each session has its full time from now on, whatever the last leader knew.
func (r *Replica) lead(ctx context.Context) {
	// What is counted and applied here holds for this term alone: one that was lost and
	// won again may have had another leader in between, whose commits this one has to
	// apply, and whose sessions and claims need their full time.
	term := r.raft.CurrentTerm()
	if err := r.raft.Barrier(writeTimeout).Error(); err != nil {
		return // no leader any more
	}
	if _, err := r.apply(registry.Command{Op: registry.OpFoundGroup, Group: r.config.Load().Group}); err != nil {
		slog.Error("the group cannot be founded", "err", err)
		return
	}
	rules := r.config.Load().Sessions
	sessions := registry.NewSessionTracker(rules.Floor, time.Duration(rules.WindowMS)*time.Millisecond)
	r.mu.Lock()
	r.sessions, r.followed, r.term = sessions, 0, term
	r.leases = registry.NewClaimTracker(time.Duration(r.config.Load().Leases.MaxTTLMS) * time.Millisecond)
	r.syncSessionsLocked(time.Now())
	r.syncLeasesLocked(time.Now())
	live := sessions.Len()
	r.mu.Unlock()
	slog.Info("leading", "term", r.raft.CurrentTerm(), "sessions", live, "seq", r.stateMachine.seq())
	defer func() {
		r.mu.Lock()
		r.sessions, r.leases, r.held = nil, nil, false
		r.mu.Unlock()
		slog.Info("leading no more")
	}()
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C: // its time may be one from before this process was stopped
			if r.requireLeader() != nil {
				continue // it is about to be told
			}
			r.expireSessions(time.Now(), term)
			r.expireClaims(time.Now(), term)
		}
	}
}

// errNewLeader says that this replica leads and is not ready to: it has to apply
// what its predecessors committed, or to found the group.
var errNewLeader = errors.New("this replica has just been elected")

// requireLeader returns an error unless this replica requireLeader and has applied what its
// predecessors committed.
func (r *Replica) requireLeader() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requireLeaderLocked()
}

// requireLeaderTerm is leads, and the term in which.
func (r *Replica) requireLeaderTerm() (term uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term, r.requireLeaderLocked()
}

func (r *Replica) requireLeaderLocked() error {
	switch {
	case r.raft.State() != raft.Leader:
		return raft.ErrNotLeader
	case r.sessions == nil, r.term != r.raft.CurrentTerm():
		return errNewLeader
	}
	return nil
}
