package controller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/membership"
	"barleywick/internal/membership/gossip"
	"barleywick/internal/mutation"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// fleetView is what a keeper does with what its membership tells. Leases never rest on that:
// what it sees with its own eyes, the end of a process on its own machine, ends that
// process's claims; all else makes it more careful, and nothing more. A nil fleetView tells
// nothing.
type fleetView struct {
	node    *gossip.Node
	client  *client.Client
	changed chan struct{}
}

const (
	// releaseTimeout is for one call that ends a claim.
	releaseTimeout = 2 * time.Second
	// actMargin is beyond what a keeper's longest timed act may take: what it had sent when
	// it ended is on its way still.
	actMargin = 50 * time.Millisecond
)

// maxActTime is how long a timed act of this keeper may take.
func (c *Config) maxActTime() time.Duration {
	if c.MaxActMS > 0 {
		return time.Duration(c.MaxActMS) * time.Millisecond
	}
	longest := 100 * time.Millisecond // an answer to a digest, a look at a lock
	if c.Health != nil {
		longest = max(longest, time.Duration(c.Health.TimeoutMS)*time.Millisecond)
	}
	if c.Drains != nil {
		longest = max(longest, c.leaseTTL()/4) // a stop command's part
	}
	return longest
}

func joinFleet(c *Config, k *Controller) (*fleetView, error) {
	f := &fleetView{client: k.client, changed: make(chan struct{}, 1)}
	var urls []string
	for _, at := range c.Registry {
		urls = append(urls, "http://"+at+registry.APIPath+membership.ViewPath)
	}
	asks := &http.Client{Transport: &http.Transport{DialContext: c.Routes.Dial(time.Second), DisableKeepAlives: true}}
	var err error
	f.node, err = gossip.Start(gossip.Options{
		Config: *c.Membership, WatchProcesses: true, FindSeeds: membership.SeedsFromViews(asks, urls),
		Self: membership.Info{
			Name: c.Name, Incarnation: k.member.Holder.Incarnation, Role: membership.RoleController,
			HTTPAddr: c.Listen, LongestActMS: c.maxActTime().Milliseconds(),
		},
		OnChange: func() {
			for _, kick := range []chan struct{}{f.changed, k.membersChanged} {
				select {
				case kick <- struct{}{}:
				default:
				}
			}
		},
	})
	return f, err
}

// run is a member until ctx ends, and ends the claims of keepers whose processes it sees end.
func (f *fleetView) run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() {
		if err := f.node.Run(ctx); err != nil {
			slog.Error("members: this keeper is one no more", "err", err)
		}
	})
	buried := make(map[string]bool)
	for {
		select {
		case <-f.changed:
		case <-ctx.Done():
			return
		}
		own := f.node.Self().Key()
		known := make(map[string]bool)
		for _, s := range f.node.Members() {
			key := s.Key()
			known[key] = true
			if s.Role != membership.RoleController || buried[key] || !sawProcessEnd(s, own) {
				continue
			}
			buried[key] = true
			tasks.Go(func() { f.releaseClaims(ctx, s) })
		}
		for key := range buried {
			if !known[key] {
				delete(buried, key)
			}
		}
	}
}

// sawProcessEnd says whether this process itself has seen a member's process end. The word of
// others is none on which a lease may end.
func sawProcessEnd(s membership.Member, own string) bool {
	return s.Status == membership.StatusEnded && s.By == own || mutation.GossipRemoves && s.Status == membership.StatusUnreachable
}

// releaseClaims ends the claims of a keeper whose process has ended, once what it had sent has
// come to an end too: the next in line need not wait for the rest of the lease.
func (f *fleetView) releaseClaims(ctx context.Context, s membership.Member) {
	if pause(ctx, time.Duration(s.LongestActMS)*time.Millisecond+actMargin) != nil {
		return
	}
	in, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	all, err := f.client.Leases(in, 0, 0)
	if err != nil {
		slog.Warn("members: a keeper that has ended keeps its leases until their time is up", "keeper", s.Name, "err", err)
		return
	}
	dead := registry.Holder{Name: s.Name, Incarnation: s.Incarnation}
	ended := 0
	for _, l := range all.Leases {
		claims := l.Queue
		if l.Grant != nil {
			claims = append(claims, l.Grant.Claim)
		}
		for _, c := range claims {
			if c.Holder != dead {
				continue
			}
			err := f.client.Release(in, l.Name, registry.ReleaseRequest{ClaimID: c.ID, Holder: dead})
			if err != nil && !errors.Is(err, registry.ErrNotFound) {
				slog.Warn("members: a claim of a keeper that has ended goes on", "lease", l.Name, "keeper", s.Name, "err", err)
				continue
			}
			ended++
		}
	}
	slog.Info("members: a keeper's process has ended, and so have its claims", "keeper", s.Name, "incarnation", s.Incarnation, "claims", ended)
}

// hasEnded says whether a holder is sure to have hasEnded, by anybody's word: nothing more is
// handed to it, or expected of it.
func (f *fleetView) hasEnded(h registry.Holder) bool {
	s, ok := f.standing(h)
	return ok && (s.Status == membership.StatusEnded || s.Status == membership.StatusLeft)
}

// canReceive says whether a holder may be handed something: whoever is not known may.
func (f *fleetView) canReceive(h registry.Holder) bool {
	s, ok := f.standing(h)
	return !ok || s.Status == membership.StatusPresent
}

func (f *fleetView) standing(h registry.Holder) (s membership.Member, ok bool) {
	if f == nil {
		return s, false
	}
	return f.node.Get(membership.Info{Name: h.Name, Incarnation: h.Incarnation}.Key())
}

// inMinority says that more than half of the fleet's members are lost from here.
func (f *fleetView) inMinority() bool { return f != nil && f.node.Partition().Minority() }

// sidecarCount is how many sidecarCount are there, as far as is seen here; 0: nothing is.
func (f *fleetView) sidecarCount() int {
	if f == nil {
		return 0
	}
	return f.node.CountRole(membership.RoleSidecar)
}

// suspectedServers are booking servers that a member has not heard from lately.
func (f *fleetView) suspectedServers() []string {
	if f == nil {
		return nil
	}
	return f.node.UnresponsiveEndpoints()
}
