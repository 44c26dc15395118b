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

// memberName is a replica's name among the members of the fleet.
func memberName(group, id string) string { return group + "-" + id }

// joinMembership makes this replica a member of the fleet if its configuration says so.
// The replica's own work never waits for that: gossip tells it other replicas' new
// addresses, and it answers callers that ask what it sees.
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

// gossipedAddress returns where members of the fleet see a replica of this group, if
// they do. A connection there begins with a handshake that names the group
// (streamLayer.checkHandshake), so a wrong address costs a connection and no more.
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

// addressProvider tells Raft where a replica is reached now. Where no member sees the
// replica, Raft uses the address in the group's configuration.
type addressProvider struct{ replica *Replica }

var errNoMemberAddress = errors.New("no member sees this replica")

// ServerAddr returns a replica's address by its id.
func (p addressProvider) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if info, ok := p.replica.gossipedAddress(string(id)); ok {
		return raft.ServerAddress(info.Raft), nil
	}
	return "", errNoMemberAddress
}

// serveMembership answers with this member's view of the fleet.
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
