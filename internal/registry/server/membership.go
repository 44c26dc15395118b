package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"

	"github.com/hashicorp/raft"

	"barleywick/internal/membership"
	"barleywick/internal/membership/gossip"
	"barleywick/internal/registry"
)

// memberName returns a replica's name as a member of the fleet.
func memberName(group, id string) string { return group + "-" + id }

// joinMembership makes this replica a member of the fleet if membership is configured. Serving
// the registry does not depend on it: membership provides changed addresses of other replicas,
// and a view of the fleet for callers.
func (r *Replica) joinMembership() (leave func(), err error) {
	c := r.config.Load()
	if c.Membership == nil {
		return func() {}, nil
	}
	var viewURLs []string
	for _, replica := range c.Replicas {
		if replica.ID != c.ID {
			viewURLs = append(viewURLs, "http://"+replica.HTTP+registry.APIPath+membership.ViewPath)
		}
	}
	node, err := gossip.Start(gossip.Options{
		Config:         *c.Membership,
		WatchProcesses: true,
		FindSeeds:      membership.SeedsFromViews(r.peerClient, viewURLs),
		Self: membership.Info{
			Name: memberName(c.Group, c.ID), Role: membership.RoleRegistry,
			HTTPAddr: r.self.HTTP, RaftAddr: r.self.Raft, ReplicaID: c.ID,
		},
	})
	if err != nil {
		return nil, err
	}
	r.gossip.Store(node)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := node.Run(ctx); err != nil {
			slog.Error("members: membership ended", "err", err)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}, nil
}

// gossipedAddress returns the addresses of a replica of this group as known from gossip. A wrong
// address costs one connection attempt at most, since each connection begins with a handshake
// that names the group (streamLayer.checkHandshake).
func (r *Replica) gossipedAddress(id string) (registry.ReplicaInfo, bool) {
	node := r.gossip.Load()
	if node == nil || id == r.self.ID {
		return registry.ReplicaInfo{}, false
	}
	member, ok := node.Latest(memberName(r.config.Load().Group, id))
	switch {
	case !ok, member.Role != membership.RoleRegistry, member.ReplicaID != id, member.RaftAddr == "", member.HTTPAddr == "":
		return registry.ReplicaInfo{}, false
	case member.Status != membership.StatusPresent && member.Status != membership.StatusSuspected:
		return registry.ReplicaInfo{}, false
	}
	return registry.ReplicaInfo{ID: id, HTTP: member.HTTPAddr, Raft: member.RaftAddr}, true
}

// addressProvider gives Raft the gossiped address of a replica. If there is none, Raft uses the
// address in the group's configuration.
type addressProvider struct{ replica *Replica }

var errAddressUnknown = errors.New("no address of the replica is known from gossip")

// ServerAddr returns the gossiped Raft address of the replica with an id.
func (p addressProvider) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if info, ok := p.replica.gossipedAddress(string(id)); ok {
		return raft.ServerAddress(info.Raft), nil
	}
	return "", errAddressUnknown
}

// serveMembership serves this member's view of the fleet.
func (r *Replica) serveMembership(w http.ResponseWriter, req *http.Request) {
	node := r.gossip.Load()
	if node == nil {
		http.Error(w, fmt.Sprintf("replica %s is no member of a fleet: its configuration names no membership", r.self.ID), http.StatusNotFound)
		return
	}
	r.limited(func(w http.ResponseWriter, req *http.Request) error {
		node.ServeHTTP(w, req)
		return nil
	})(w, req)
}
