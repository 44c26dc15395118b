package server

import (
	"strings"
	"time"

	"barleywick/internal/registry"
)

// Status returns the replica's state as the API's status call reports it.
func (r *Replica) Status() registry.StatusResponse {
	freshness, _ := r.freshness(time.Now())
	s := registry.StatusResponse{
		ID:      r.self.ID,
		State:   strings.ToLower(r.raft.State().String()),
		Read:    freshness,
		Ready:   r.ready.Load(),
		Term:    r.raft.CurrentTerm(),
		Applied: r.raft.AppliedIndex(),
		Watches: r.openWatches.number(),
	}
	if leader, ok := r.leader(); ok {
		s.Leader = leader.ID
	}
	r.stateMachine.view(func(state *registry.State) { s.Group, s.Seq = state.Group(), state.Seq() })
	s.WatchSeq = r.watchVersions.oldest(s.Seq)
	for _, voter := range r.voters() {
		info, ok := r.findReplica(string(voter.ID))
		if !ok {
			info = registry.ReplicaInfo{ID: string(voter.ID), Raft: string(voter.Address)}
		}
		s.Replicas = append(s.Replicas, info)
	}
	l := &r.leadership
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.ExpiryHeld = l.expiryHeld; l.sessions != nil {
		s.Sessions, s.Claims = l.sessions.Len(), l.claims.Len()
	}
	return s
}
