package server

import (
	"strings"
	"time"

	"barleywick/internal/registry"
)

// Status tells how the replica stands.
func (r *Replica) Status() registry.StatusResponse {
	word, _ := r.freshness(time.Now())
	s := registry.StatusResponse{
		ID: r.self.ID, State: strings.ToLower(r.raft.State().String()), Read: word, Ready: r.ready.Load(),
		Term: r.raft.CurrentTerm(), Applied: r.raft.AppliedIndex(), Watches: int(r.openWatches.Load()),
	}
	if m, ok := r.leader(); ok {
		s.Leader = m.ID
	}
	r.stateMachine.view(func(st *registry.State) { s.Group, s.Seq = st.Group(), st.Seq() })
	s.WatchSeq = r.watchVersions.oldest(s.Seq)
	for _, v := range r.voters() {
		m, ok := r.findReplica(string(v.ID))
		if !ok {
			m = registry.ReplicaInfo{ID: string(v.ID), Raft: string(v.Address)}
		}
		s.Replicas = append(s.Replicas, m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.ExpiryHeld = r.held; r.sessions != nil {
		s.Sessions, s.Claims = r.sessions.Len(), r.leases.Len()
	}
	return s
}
