// Package sidecarmember makes a sidecar a member of the fleet. It is apart from package
// sidecar because it links the gossip library, which takes memory whether a configuration
// names a membership or not.
package sidecarmember

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"barleywick/internal/sidecar/config"

	"barleywick/internal/membership"
	"barleywick/internal/membership/gossip"
	"barleywick/internal/registry"
	"barleywick/internal/shutdown"
	"barleywick/internal/sidecar"
)

const (
	// retryInterval is the time between two attempts to become a member. The predecessor may
	// still use the address while this process takes over from it.
	retryInterval = time.Second
	dialTimeout   = time.Second
)

// New makes the member that a configuration describes. Its Run has to be called.
func New(c *config.Config) sidecar.FleetMember {
	var urls []string
	for _, address := range append([]string{c.Discovery}, c.DiscoveryReplicas...) { // they may be replicas of our registry
		urls = append(urls, "http://"+address+registry.APIPath+membership.ViewPath)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: c.Membership.Routes.Dialer(dialTimeout), DisableKeepAlives: true}}
	return &member{options: gossip.Options{
		Config: *c.Membership, FindSeeds: membership.SeedsFromViews(client, urls),
		Self: membership.Info{Name: c.Name, Role: membership.RoleSidecar, HTTPAddr: c.Listen},
	}}
}

// member is a sidecar as a member of the fleet.
type member struct {
	options gossip.Options
	node    atomic.Pointer[gossip.Node] // nil: it is not a member yet
}

// Run keeps the sidecar a member until ctx ends. No failure ends the sidecar: it is tried
// again.
func (m *member) Run(ctx context.Context) {
	for {
		node, err := shutdown.Await(ctx, func() (*gossip.Node, error) { return gossip.Start(m.options) }) // it reads a file
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			m.node.Store(node)
			if err = node.Run(ctx); ctx.Err() != nil {
				return
			}
		}
		slog.Warn("members: not a member yet, retrying", "err", err)
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Announce sets the lifecycle state and the policy epoch that this sidecar announces.
func (m *member) Announce(phase string, policyEpoch uint64) {
	if node := m.node.Load(); node != nil {
		node.Update(func(info *membership.Info) { info.Phase, info.PolicyEpoch = phase, policyEpoch })
	}
}

// ReportUnresponsive tells the fleet that a booking server does not answer.
func (m *member) ReportUnresponsive(endpoint string) {
	if node := m.node.Load(); node != nil {
		node.ReportUnresponsive(endpoint)
	}
}

// SidecarCount returns how many sidecars count as present in this one's view; 0: it is not
// a member yet.
func (m *member) SidecarCount() int {
	node := m.node.Load()
	if node == nil {
		return 0
	}
	return node.CountRole(membership.RoleSidecar)
}

// ServeHTTP serves this sidecar's view.
func (m *member) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node := m.node.Load()
	if node == nil {
		http.Error(w, "this sidecar is no member yet", http.StatusServiceUnavailable)
		return
	}
	node.ServeHTTP(w, r)
}
