package server

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// memberKeyPrefix is the key prefix of the records that hold the addresses of replicas added to
// the group after its founding.
const memberKeyPrefix = "member:"

// voters returns the replicas in the group's Raft configuration; nil if it cannot be read.
func (r *Replica) voters() []raft.Server {
	f := r.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

// isVoter reports whether a replica is in the group's configuration. node is nil while
// this replica starts.
func isVoter(node *raft.Raft, id raft.ServerID) bool {
	if node == nil {
		return false
	}
	f := node.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(s raft.Server) bool { return s.ID == id })
}

// findReplica returns the addresses of a replica: from gossip, otherwise from the replica's
// record, otherwise from the configuration file.
func (r *Replica) findReplica(id string) (registry.ReplicaInfo, bool) {
	if info, ok := r.gossipedAddress(id); ok {
		return info, true
	}
	if info, ok := r.addedReplica(id); ok {
		return info, true
	}
	founding := r.config.Load().Replicas
	if i := slices.IndexFunc(founding, func(m registry.ReplicaInfo) bool { return m.ID == id }); i >= 0 {
		return founding[i], true
	}
	return registry.ReplicaInfo{}, false
}

// replicaAt returns the id of the replica whose address for other replicas is known to be the given one, or "".
func (r *Replica) replicaAt(address raft.ServerAddress) (id string) {
	ids := make(map[string]bool)
	for _, replica := range r.config.Load().Replicas {
		ids[replica.ID] = true
	}
	r.stateMachine.view(func(s *registry.State) {
		for _, key := range s.RecordKeys() {
			if added, ok := strings.CutPrefix(key, memberKeyPrefix); ok {
				ids[added] = true
			}
		}
	})
	for candidate := range ids {
		if info, ok := r.findReplica(candidate); ok && info.Raft == string(address) {
			if id != "" {
				return "" // two replicas have the address
			}
			id = candidate
		}
	}
	return id
}

// addedReplica returns the addresses of a replica that was added after the group's founding.
func (r *Replica) addedReplica(id string) (info registry.ReplicaInfo, ok bool) {
	r.stateMachine.view(func(s *registry.State) {
		if record, found := s.Record(memberKeyPrefix + id); found {
			ok = json.Unmarshal(record.Value, &info) == nil
		}
	})
	return info, ok
}

// leader returns the current leader, if it is known.
func (r *Replica) leader() (registry.ReplicaInfo, bool) {
	_, id := r.raft.LeaderWithID()
	if id == "" {
		return registry.ReplicaInfo{}, false
	}
	return r.findReplica(string(id))
}

// addReplica stores a replica's addresses and adds it to the group as a voter.
func (r *Replica) addReplica(info registry.ReplicaInfo) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	text, err := json.Marshal(info)
	if err != nil {
		return err
	}
	if _, err := r.apply(registry.Command{Op: registry.OpPutRecord, Key: memberKeyPrefix + info.ID, Value: text}); err != nil {
		return err
	}
	return r.awaitRaftFuture(func() raft.Future {
		return r.raft.AddVoter(raft.ServerID(info.ID), raft.ServerAddress(info.Raft), 0, writeTimeout)
	})
}

// removeReplica removes a replica from the group and deletes its addresses.
func (r *Replica) removeReplica(id string) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	if !slices.ContainsFunc(r.voters(), func(s raft.Server) bool { return string(s.ID) == id }) {
		return fmt.Errorf("%w: no replica %.64s in the group", registry.ErrNotFound, id)
	}
	if err := r.awaitRaftFuture(func() raft.Future { return r.raft.RemoveServer(raft.ServerID(id), 0, writeTimeout) }); err != nil {
		return err
	}
	_, err := r.apply(registry.Command{Op: registry.OpDeleteRecord, Key: memberKeyPrefix + id})
	return err
}
