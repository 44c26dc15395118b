package controller

import (
	"context"
	"strings"
	"sync"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
)

// settleTTLs is how long a controller has to be present before tasks are handed over to it, in lease
// TTLs: twice the time in which the end of a controller is detected.
const settleTTLs = 2

// coordinator claims tasks and hands them over while its controller holds its presence lease.
type coordinator struct {
	controller *Controller
	placement  placement
	cancels    map[string]context.CancelFunc // of the claimed tasks, by lease name
	running    sync.WaitGroup
}

// coordinate claims tasks and hands them over until ctx ends, and then stops them.
func (c *Controller) coordinate(ctx context.Context) {
	o := &coordinator{
		controller: c,
		placement:  placement{settleTime: settleTTLs * c.ttl},
		cancels:    make(map[string]context.CancelFunc),
	}
	defer o.running.Wait()
	tick := time.NewTicker(c.ttl / 2) // the end of a controller's settle time causes no update
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

// update claims, releases or hands over each task according to the state of the leases.
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

// present returns the names of the controllers that hold their presence lease, except those that are
// known to have ended.
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

// updateTask starts or stops claiming a task, or hands it over.
func (o *coordinator) updateTask(ctx context.Context, task Task, queue []registry.Claim, now time.Duration) {
	c := o.controller
	shouldClaim := o.placement.shouldClaim(task.LeaseName, c.name)
	holds := c.handle(task.LeaseName) != nil
	if task.Timed && c.fleet.inMinority() {
		shouldClaim, holds = false, false // stops the task even if its lease is held
	}
	stop, claimed := o.cancels[task.LeaseName]
	switch {
	case shouldClaim && !claimed:
		taskCtx, cancel := context.WithCancel(ctx)
		o.cancels[task.LeaseName] = cancel
		o.running.Go(func() { c.hold(taskCtx, task) })
	case !shouldClaim && claimed && !holds:
		stop()
		delete(o.cancels, task.LeaseName)
	case holds:
		if to, ok := o.placement.handOverTarget(task.LeaseName, c.name, o.handOverCandidates(queue), now); ok {
			c.HandOver(task.LeaseName, to)
		}
	}
}

// handOverCandidates returns the names of the controllers that are queued for a lease and may receive it.
func (o *coordinator) handOverCandidates(queue []registry.Claim) []string {
	var names []string
	for _, claim := range queue {
		if o.controller.fleet.canReceive(claim.Holder) {
			names = append(names, claim.Name)
		}
	}
	return names
}
