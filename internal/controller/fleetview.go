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

const (
	// releaseTimeout is for the calls that release the claims of one controller.
	releaseTimeout = 2 * time.Second
	// actMargin is added to a controller's longest timed act, since what it had sent when it
	// ended may still be on its way.
	actMargin = 50 * time.Millisecond
	// dialTimeout is for a connection to ask a replica for its view of the fleet.
	dialTimeout = time.Second
)

// fleetView is what a controller does with its membership of the fleet. Leases do not rest on
// it, with one exception: a controller that itself sees the end of another one's process, on
// its own machine, releases that one's claims. Otherwise the view only makes it more careful.
// A nil fleetView knows nothing.
type fleetView struct {
	node    *gossip.Node
	client  *client.Client
	changed chan struct{}
}

// joinFleet makes a controller a member of the fleet.
func joinFleet(config *Config, c *Controller) (*fleetView, error) {
	f := &fleetView{client: c.client, changed: make(chan struct{}, 1)}
	var views []string
	for _, replica := range config.Registry {
		views = append(views, "http://"+replica+registry.APIPath+membership.ViewPath)
	}
	httpClient := &http.Client{Transport: &http.Transport{DialContext: config.Routes.Dialer(dialTimeout), DisableKeepAlives: true}}
	var err error
	f.node, err = gossip.Start(gossip.Options{
		Config: *config.Membership, WatchProcesses: true, FindSeeds: membership.SeedsFromViews(httpClient, views),
		Self: membership.Info{
			Name: config.Name, Incarnation: c.leases.Holder().Incarnation, Role: membership.RoleController,
			HTTPAddr: config.Listen, LongestActMS: config.longestAct().Milliseconds(),
		},
		OnChange: func() {
			notify(f.changed)
			notify(c.membersChanged)
		},
	})
	return f, err
}

// notify leaves a notification in a channel that holds one.
func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// run is a member of the fleet until ctx ends, and releases the claims of controllers whose
// processes it sees end.
func (f *fleetView) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		if err := f.node.Run(ctx); err != nil {
			slog.Error("members: membership ended", "err", err)
		}
	})
	released := make(map[string]bool) // by member
	for {
		select {
		case <-f.changed:
		case <-ctx.Done():
			return
		}
		for _, m := range f.endedControllers(released) {
			running.Go(func() { f.releaseClaims(ctx, m) })
		}
	}
}

// endedControllers returns the controllers that were seen to end and are not in released, and
// notes them there. It forgets those in released that the view does not have any more.
func (f *fleetView) endedControllers(released map[string]bool) []membership.Member {
	self := f.node.Self().Key()
	known := make(map[string]bool)
	var ended []membership.Member
	for _, m := range f.node.Members() {
		key := m.Key()
		known[key] = true
		if m.Role == membership.RoleController && !released[key] && sawProcessEnd(m, self) {
			released[key] = true
			ended = append(ended, m)
		}
	}
	for key := range released {
		if !known[key] {
			delete(released, key)
		}
	}
	return ended
}

// sawProcessEnd reports whether this process itself has seen a member's process end. No lease
// may end because another member says so.
func sawProcessEnd(m membership.Member, self string) bool {
	if mutation.EndLeasesOfUnreachable && m.Status == membership.StatusUnreachable {
		return true
	}
	return m.Status == membership.StatusEnded && m.By == self
}

// releaseClaims releases the claims of a controller whose process has ended, once the acts that
// it had begun have ended, too. The next controller then need not wait for the leases to expire.
func (f *fleetView) releaseClaims(ctx context.Context, m membership.Member) {
	if pause(ctx, time.Duration(m.LongestActMS)*time.Millisecond+actMargin) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	leases, err := f.client.Leases(ctx, 0, 0)
	if err != nil {
		slog.Warn("members: claims of ended controller not read", "controller", m.Name, "err", err)
		return
	}
	holder := registry.Holder{Name: m.Name, Incarnation: m.Incarnation}
	released := 0
	for _, l := range leases.Leases {
		for _, claimID := range claimsOf(l, holder) {
			err := f.client.Release(ctx, l.Name, registry.ReleaseRequest{ClaimID: claimID, Holder: holder})
			if err != nil && !errors.Is(err, registry.ErrNotFound) {
				slog.Warn("members: claim of ended controller not released", "lease", l.Name, "controller", m.Name, "err", err)
				continue
			}
			released++
		}
	}
	slog.Info("members: claims of ended controller released", "controller", m.Name, "incarnation", m.Incarnation, "claims", released)
}

// claimsOf returns the ids of a holder's claims on a lease.
func claimsOf(l registry.Lease, holder registry.Holder) []string {
	var ids []string
	for _, claim := range l.Queue {
		if claim.Holder == holder {
			ids = append(ids, claim.ID)
		}
	}
	if l.Grant != nil && l.Grant.Holder == holder {
		ids = append(ids, l.Grant.ID)
	}
	return ids
}

// hasEnded reports whether a holder is certain to have ended, according to any member. Nothing
// is handed over to it any more.
func (f *fleetView) hasEnded(h registry.Holder) bool {
	m, known := f.member(h)
	return known && (m.Status == membership.StatusEnded || m.Status == membership.StatusLeft)
}

// canReceive reports whether a task may be handed over to a holder. One that is not known may
// receive it.
func (f *fleetView) canReceive(h registry.Holder) bool {
	m, known := f.member(h)
	return !known || m.Status == membership.StatusPresent
}

func (f *fleetView) member(h registry.Holder) (m membership.Member, known bool) {
	if f == nil {
		return membership.Member{}, false
	}
	return f.node.Get(membership.Info{Name: h.Name, Incarnation: h.Incarnation}.Key())
}

// inMinority reports whether more than half of the fleet's members are unreachable from here.
func (f *fleetView) inMinority() bool { return f != nil && f.node.Partition().Minority() }

// sidecarCount returns how many sidecars are present as seen from here; 0: not known.
func (f *fleetView) sidecarCount() int {
	if f == nil {
		return 0
	}
	return f.node.CountRole(membership.RoleSidecar)
}

// suspectedServers returns the booking servers that some member got no answer from lately.
func (f *fleetView) suspectedServers() []string {
	if f == nil {
		return nil
	}
	return f.node.UnresponsiveEndpoints()
}
