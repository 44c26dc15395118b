// Package sidecarmember makes a sidecar a member of the fleet. It is separate from package sidecar because
// it links the gossip library, which takes memory even if the configuration has no membership.
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
	// retryInterval is the time between two attempts to become a member. An attempt may fail
	// because the predecessor process still uses the address during a hand-over.
	retryInterval = time.Second
	dialTimeout   = time.Second
)

// New returns the member that a configuration describes. The caller has to call its Run.
func New(c *config.Config) sidecar.FleetMember {
	var urls []string
	for _, address := range append([]string{c.Discovery}, c.DiscoveryReplicas...) { // they may be replicas of the registry, which serves a membership view
		urls = append(urls, "http://"+address+registry.APIPath+membership.ViewPath)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: c.Membership.Routes.Dialer(dialTimeout), DisableKeepAlives: true}}
	return &member{options: gossip.Options{
		Config: *c.Membership, FindSeeds: membership.SeedsFromViews(client, urls),
		Self: membership.Info{Name: c.Name, Role: membership.RoleSidecar, HTTPAddr: c.Listen},
	}}
}

// member implements sidecar.FleetMember.
type member struct {
	options gossip.Options
	node    atomic.Pointer[gossip.Node] // nil: not a member yet
}

// Run keeps the sidecar a member until ctx is done. Failures are logged and retried and never stop the
// sidecar.
func (m *member) Run(ctx context.Context) {
	for {
		node, err := shutdown.Await(ctx, func() (*gossip.Node, error) { return gossip.Start(m.options) }) // reads a file, which cannot be cancelled
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

// ReportUnresponsive informs the fleet that a booking server does not respond.
func (m *member) ReportUnresponsive(endpoint string) {
	if node := m.node.Load(); node != nil {
		node.ReportUnresponsive(endpoint)
	}
}

// SidecarCount returns the number of sidecars that are present in this sidecar's view, or 0 if it is not a
// member yet.
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
		http.Error(w, "this sidecar is not a member yet", http.StatusServiceUnavailable)
		return
	}
	node.ServeHTTP(w, r)
}
