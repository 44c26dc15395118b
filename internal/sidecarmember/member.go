// Package sidecarmember makes a sidecar a member of the fleet. It is apart from the sidecar's own
// package, which links nothing of it: the network's part takes memory whether a
// configuration names it or not.
package sidecarmember

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"barleywick/internal/membership"
	"barleywick/internal/membership/gossip"
	"barleywick/internal/registry"
	"barleywick/internal/sidecar"
)

// retryInterval is between two tries to listen: the process before this one, whose place it
// takes, may have the address still.
const retryInterval = time.Second

// New makes the member that a configuration describes. It begins with Run.
func New(c *sidecar.Config) sidecar.FleetMember {
	var urls []string
	for _, at := range append([]string{c.Discovery}, c.DiscoveryReplicas...) { // which may be a registry of ours
		urls = append(urls, "http://"+at+registry.APIPath+membership.ViewPath)
	}
	asks := &http.Client{Transport: &http.Transport{DialContext: c.Membership.Routes.Dial(time.Second), DisableKeepAlives: true}}
	return &member{options: gossip.Options{
		Config: *c.Membership, FindSeeds: membership.SeedsFromViews(asks, urls),
		Self: membership.Info{Name: c.Name, Role: membership.RoleSidecar, HTTPAddr: c.Listen},
	}}
}

type member struct {
	options gossip.Options
	node    atomic.Pointer[gossip.Node] // nil: it has not begun
}

// Run is a member until ctx ends. Whatever hinders it, the sidecar goes on.
func (m *member) Run(ctx context.Context) {
	for {
		node, err := gossip.Start(m.options)
		if err == nil {
			m.node.Store(node)
			if err = node.Run(ctx); ctx.Err() != nil {
				return
			}
		}
		slog.Warn("members: this sidecar is none yet", "err", err)
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Announce is what this sidecar says of itself from now on.
func (m *member) Announce(phase string, epoch uint64) {
	if node := m.node.Load(); node != nil {
		node.Update(func(i *membership.Info) { i.Phase, i.PolicyEpoch = phase, epoch })
	}
}

// ReportUnresponsive tells the fleet that a booking server does not answer.
func (m *member) ReportUnresponsive(host string) {
	if node := m.node.Load(); node != nil {
		node.ReportUnresponsive(host)
	}
}

// SidecarCount is how many sidecars are there, as this one sees it.
func (m *member) SidecarCount() (n int) {
	if node := m.node.Load(); node != nil {
		n = node.CountRole(membership.RoleSidecar)
	}
	return n
}

// ServeHTTP tells what this sidecar sees.
func (m *member) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if node := m.node.Load(); node != nil {
		node.ServeHTTP(w, q)
		return
	}
	http.Error(w, "this sidecar is no member yet", http.StatusServiceUnavailable)
}
