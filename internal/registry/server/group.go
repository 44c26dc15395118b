package server

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// voters are the replicas that count for a quorum.
func (r *Replica) voters() []raft.Server {
	f := r.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

// findReplica finds a replica by its id: where the fleet's members see it, or else one of the
// founding ones, or one added since.
func (r *Replica) findReplica(id string) (registry.ReplicaInfo, bool) {
	if m, ok := r.gossipedAddress(id); ok {
		return m, true
	}
	var m registry.ReplicaInfo
	added := false
	r.stateMachine.view(func(s *registry.State) {
		if rec, ok := s.Record(memberKeyPrefix + id); ok {
			added = json.Unmarshal(rec.Value, &m) == nil
		}
	})
	if added {
		return m, true
	}
	all := r.config.Load().Replicas
	if i := slices.IndexFunc(all, func(m registry.ReplicaInfo) bool { return m.ID == id }); i >= 0 {
		return all[i], true
	}
	return registry.ReplicaInfo{}, false
}

// leader is the replica that leads, if one is known.
func (r *Replica) leader() (registry.ReplicaInfo, bool) {
	_, id := r.raft.LeaderWithID()
	if id == "" {
		return registry.ReplicaInfo{}, false
	}
	return r.findReplica(string(id))
}

// addReplica takes a replica into the group.
func (r *Replica) addReplica(m registry.ReplicaInfo) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if _, err := r.apply(registry.Command{Op: registry.OpPutRecord, Key: memberKeyPrefix + m.ID, Value: text}); err != nil {
		return err
	}
	return r.raft.AddVoter(raft.ServerID(m.ID), raft.ServerAddress(m.Raft), 0, writeTimeout).Error()
}

// removeReplica takes a replica out of the group.
func (r *Replica) removeReplica(id string) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	if !slices.ContainsFunc(r.voters(), func(s raft.Server) bool { return string(s.ID) == id }) {
		return fmt.Errorf("%w: no replica %.64s in the group", registry.ErrNotFound, id)
	}
	if err := r.raft.RemoveServer(raft.ServerID(id), 0, writeTimeout).Error(); err != nil {
		return err
	}
	_, err := r.apply(registry.Command{Op: registry.OpDeleteRecord, Key: memberKeyPrefix + id})
	return err
}
