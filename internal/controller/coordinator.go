package controller

import (
	"context"
	"strings"
	"sync"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
)

// settleTTLs is for how many lease times to live a controller has to be present before tasks
// are handed over to it: twice the time after which the end of a controller is noticed.
const settleTTLs = 2

// coordinator claims tasks and hands them over while its controller is present.
type coordinator struct {
	controller *Controller
	placement  placement
	stops      map[string]context.CancelFunc // of the tasks that are claimed, by lease
	running    sync.WaitGroup
}

// coordinate claims tasks and hands them over until ctx ends, and then stops them.
func (c *Controller) coordinate(ctx context.Context) {
	o := &coordinator{
		controller: c,
		placement:  placement{settle: settleTTLs * c.ttl},
		stops:      make(map[string]context.CancelFunc),
	}
	defer o.running.Wait()
	tick := time.NewTicker(c.ttl / 2) // no update tells that a controller has settled
	defer tick.Stop()
	var leases registry.LeasesResponse
	for {
		select {
		case <-ctx.Done():
			return
		case leases = <-c.leaseUpdates:
		case <-c.membersChanged:
		case <-tick.C:
		}
		if leases.Version != 0 {
			o.update(ctx, leases.Leases)
		}
	}
}

// update decides about all tasks by the state of the leases.
func (o *coordinator) update(ctx context.Context, leases []registry.Lease) {
	now := lease.BootTime()
	queues := make(map[string][]registry.Claim, len(leases))
	for _, l := range leases {
		queues[l.Name] = l.Queue
	}
	o.placement.update(o.present(leases), now)
	for _, task := range o.controller.tasks {
		o.updateTask(ctx, task, queues[task.LeaseName], now)
	}
}

// present returns the names of the controllers that hold their presence lease and are not known
// to have ended.
func (o *coordinator) present(leases []registry.Lease) []string {
	var names []string
	for _, l := range leases {
		name, isPresence := strings.CutPrefix(l.Name, presenceLeasePrefix)
		if isPresence && l.Grant != nil && l.Grant.Name == name && !o.controller.fleet.hasEnded(l.Grant.Holder) {
			names = append(names, name)
		}
	}
	return names
}

// updateTask begins to claim a task, stops to, or hands it over.
func (o *coordinator) updateTask(ctx context.Context, task Task, queue []registry.Claim, now time.Duration) {
	c := o.controller
	shouldClaim := o.placement.shouldClaim(task.LeaseName, c.name)
	holds := c.handle(task.LeaseName) != nil
	if task.Timed && c.fleet.inMinority() {
		shouldClaim, holds = false, false // so that it is stopped even where it is held
	}
	stop, claimed := o.stops[task.LeaseName]
	switch {
	case shouldClaim && !claimed:
		taskCtx, cancel := context.WithCancel(ctx)
		o.stops[task.LeaseName] = cancel
		o.running.Go(func() { c.hold(taskCtx, task) })
	case !shouldClaim && claimed && !holds:
		stop()
		delete(o.stops, task.LeaseName)
	case holds:
		if to, ok := o.placement.handOverTarget(task.LeaseName, c.name, o.reachable(queue), now); ok {
			c.HandOver(task.LeaseName, to)
		}
	}
}

// reachable returns the names of the controllers that wait for a lease and may receive it.
func (o *coordinator) reachable(queue []registry.Claim) []string {
	var names []string
	for _, claim := range queue {
		if o.controller.fleet.canReceive(claim.Holder) {
			names = append(names, claim.Name)
		}
	}
	return names
}
