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

// joinMembership makes this replica a member of the fleet where its configuration says so.
// What it does as a replica never waits for that: it hears of the others' new addresses,
// and tells who asks what it sees.
func (r *Replica) joinMembership() (end func(), err error) {
	c := r.config.Load()
	if c.Membership == nil {
		return func() {}, nil
	}
	var urls []string
	for _, m := range c.Replicas {
		if m.ID != c.ID {
			urls = append(urls, "http://"+m.HTTP+registry.APIPath+membership.ViewPath)
		}
	}
	node, err := gossip.Start(gossip.Options{
		Config: *c.Membership, WatchProcesses: true, FindSeeds: membership.SeedsFromViews(r.peerClient, urls),
		Self: membership.Info{Name: c.Group + "-" + c.ID, Role: membership.RoleRegistry, HTTPAddr: r.self.HTTP, RaftAddr: r.self.Raft, ReplicaID: c.ID},
	})
	if err != nil {
		return nil, err
	}
	r.gossip.Store(node)
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() {
		if err := node.Run(ctx); err != nil {
			slog.Error("members: this replica is one no more", "err", err)
		}
	})
	return func() {
		cancel()
		run.Wait()
	}, nil
}

// gossipedAddress is where members of the fleet see a replica of this group, if any does. Whoever is
// there has to say first of which group it is (layer.compare), so a wrong word of an
// address costs a connection and no more.
func (r *Replica) gossipedAddress(id string) (registry.ReplicaInfo, bool) {
	node := r.gossip.Load()
	if node == nil || id == r.self.ID {
		return registry.ReplicaInfo{}, false
	}
	s, ok := node.Latest(r.config.Load().Group + "-" + id)
	if !ok || s.Role != membership.RoleRegistry || s.ReplicaID != id || s.RaftAddr == "" || s.HTTPAddr == "" || s.Status != membership.StatusPresent && s.Status != membership.StatusSuspected {
		return registry.ReplicaInfo{}, false
	}
	return registry.ReplicaInfo{ID: id, HTTP: s.HTTPAddr, Raft: s.RaftAddr}, true
}

// addressProvider tells Raft where a replica is reached now; where members do not see it,
// the address counts that the group was told.
type addressProvider struct{ r *Replica }

// ServerAddr finds a replica by its id.
func (w addressProvider) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if m, ok := w.r.gossipedAddress(string(id)); ok {
		return raft.ServerAddress(m.Raft), nil
	}
	return "", errNoMemberAddress
}

var errNoMemberAddress = errors.New("no member sees this replica")

func (r *Replica) serveMembership(w http.ResponseWriter, q *http.Request) {
	node := r.gossip.Load()
	if node == nil {
		http.Error(w, fmt.Sprintf("replica %s is no member of a fleet: its configuration names no membership", r.self.ID), http.StatusNotFound)
		return
	}
	if err := r.limited(q, func() error { node.ServeHTTP(w, q); return nil }); err != nil {
		r.writeError(w, q, err)
	}
}
