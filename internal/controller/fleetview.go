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
	// releaseTimeout bounds the calls that release the claims of one controller.
	releaseTimeout = 2 * time.Second
	// actMargin is added to a controller's longest timed act, since requests that it sent just
	// before its end may still be in transit.
	actMargin = 50 * time.Millisecond
	// dialTimeout bounds the dial to a replica whose view of the fleet is fetched.
	dialTimeout = time.Second
)

// fleetView is a controller's view of the fleet's members. Leases do not depend on it, with one
// exception: a controller that itself observes the end of another controller's process, on its own
// machine, releases that controller's claims. Otherwise the view only makes a controller more
// conservative. A nil fleetView holds no members.
type fleetView struct {
	node          *gossip.Node
	client        *client.Client
	memberChanges chan struct{}
}

// joinFleet makes a controller a member of the fleet.
func joinFleet(config *Config, c *Controller) (*fleetView, error) {
	f := &fleetView{client: c.client, memberChanges: make(chan struct{}, 1)}
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
			notify(f.memberChanges)
			notify(c.membersChanged)
		},
	})
	return f, err
}

// notify sends a notification without blocking, to a channel with a buffer of one. It does nothing if
// one is pending.
func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// run keeps the controller a member of the fleet until ctx ends, and releases the claims of
// controllers whose processes it observes to end.
func (f *fleetView) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		if err := f.node.Run(ctx); err != nil {
			slog.Error("members: membership ended", "err", err)
		}
	})
	released := make(map[string]bool) // by member key
	for {
		select {
		case <-f.memberChanges:
		case <-ctx.Done():
			return
		}
		for _, m := range f.endedControllers(released) {
			running.Go(func() { f.releaseClaims(ctx, m) })
		}
	}
}

// endedControllers returns the controllers that this process has observed to end and that are not
// in released, and adds them to it. It deletes members from released that the view no longer holds.
func (f *fleetView) endedControllers(released map[string]bool) []membership.Member {
	self := f.node.Self().Key()
	inView := make(map[string]bool)
	var ended []membership.Member
	for _, m := range f.node.Members() {
		key := m.Key()
		inView[key] = true
		if m.Role == membership.RoleController && !released[key] && sawProcessEnd(m, self) {
			released[key] = true
			ended = append(ended, m)
		}
	}
	for key := range released {
		if !inView[key] {
			delete(released, key)
		}
	}
	return ended
}

// sawProcessEnd reports whether this process itself observed the end of a member's process. Another
// member's report is not sufficient to end a lease.
func sawProcessEnd(m membership.Member, self string) bool {
	if mutation.EndLeasesOfUnreachable && m.Status == membership.StatusUnreachable {
		return true
	}
	return m.Status == membership.StatusEnded && m.Evidence == self
}

// releaseClaims releases the claims of a controller whose process has ended, after the time within
// which its last timed acts have ended, too. The next holders then need not wait for the leases to
// expire.
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

// hasEnded reports whether a holder has left or its process has ended, according to any member. No
// task is handed over to it then.
func (f *fleetView) hasEnded(h registry.Holder) bool {
	m, known := f.member(h)
	return known && (m.Status == membership.StatusEnded || m.Status == membership.StatusLeft)
}

// canReceive reports whether a task may be handed over to a holder. A holder that is not in the view
// may receive one.
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

// inMinority reports whether more than half of the fleet's members are unreachable from this process.
func (f *fleetView) inMinority() bool { return f != nil && f.node.Partition().Minority() }

// sidecarCount returns how many sidecars are present in the view; 0: unknown.
func (f *fleetView) sidecarCount() int {
	if f == nil {
		return 0
	}
	return f.node.CountRole(membership.RoleSidecar)
}

// suspectedServers returns the booking servers that members recently reported as unresponsive.
func (f *fleetView) suspectedServers() []string {
	if f == nil {
		return nil
	}
	return f.node.UnresponsiveEndpoints()
}
