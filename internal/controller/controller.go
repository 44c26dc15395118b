// Package controller runs fleet-wide tasks under leases. Any number of controllers may run; each
// task runs in one of them at a time, the holder of the task's lease. Rendezvous hashing over the
// present controllers selects the preferred holder of each task, and a standby that queues for the
// lease. docs/LEASES.md describes it for operators.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// presenceLeasePrefix is the prefix of the names of presence leases; the controller's name follows. A
// controller runs tasks only while it holds its presence lease, so of two processes with the same
// name one stays idle.
const presenceLeasePrefix = "keeper:"

// Controller is one process that runs tasks.
type Controller struct {
	name   string
	ttl    time.Duration
	client *client.Client
	leases *lease.Manager
	fleet  *fleetView // nil: membership is not configured
	tasks  []Task

	leaseUpdates   chan registry.LeasesResponse // holds only the latest state
	membersChanged chan struct{}

	mu   sync.Mutex
	held map[string]*lease.Handle // by lease name
}

// New makes a controller that runs the tasks that a function returns, such as Config.Tasks.
func New(config *Config, tasks func(c *Controller) []Task) (*Controller, error) {
	r, err := client.New(config.Registry, rand.Uint64())
	if err != nil {
		return nil, err
	}
	c := &Controller{
		name:           config.Name,
		ttl:            config.leaseTTL(),
		client:         r.WithAddressMap(config.Routes),
		leaseUpdates:   make(chan registry.LeasesResponse, 1),
		membersChanged: make(chan struct{}, 1),
		held:           make(map[string]*lease.Handle),
	}
	c.leases = lease.NewManager(lease.Options{
		Registry: r, TTL: c.ttl, OnChange: c.onLeases,
		// The start time identifies the later of two processes with the same name. It does
		// not decide between lease holders: a process whose clock was set back only loses a queue position.
		Holder: registry.Holder{Name: config.Name, Incarnation: uint64(time.Now().UnixMicro())},
	})
	if config.Membership != nil {
		if c.fleet, err = joinFleet(config, c); err != nil {
			return nil, err
		}
	}
	c.tasks = tasks(c)
	return c, nil
}

// onLeases passes the latest state of the leases to coordinate, in place of one that it has not yet
// received. Only one goroutine calls it.
func (c *Controller) onLeases(leases registry.LeasesResponse) {
	select {
	case <-c.leaseUpdates:
	default:
	}
	c.leaseUpdates <- leases
}

// Run runs tasks until ctx ends, and then releases their leases.
func (c *Controller) Run(ctx context.Context) error {
	defer c.client.Close()
	// Leases are released after ctx has ended, and have to be renewed until then.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	running.Go(func() { c.leases.Run(background) })
	if c.fleet != nil {
		running.Go(func() { c.fleet.run(background) })
	}
	defer running.Wait()
	defer stop()
	for {
		err := c.leases.Hold(ctx, presenceLeasePrefix+c.name, func(ctx context.Context, _ *lease.Handle) error {
			c.coordinate(ctx)
			return ctx.Err()
		})
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("controller %s: %w", c.name, err)
		}
	}
}

// hold runs a task whenever this controller holds its lease, until ctx ends.
func (c *Controller) hold(ctx context.Context, task Task) {
	for ctx.Err() == nil {
		err := c.leases.Hold(ctx, task.LeaseName, func(ctx context.Context, handle *lease.Handle) error {
			c.setHandle(task.LeaseName, handle)
			defer c.setHandle(task.LeaseName, nil)
			if err := task.Run(ctx, handle); err != nil {
				return err
			}
			return ctx.Err()
		})
		if ctx.Err() != nil {
			return
		}
		slog.Error("controller: task not held", "lease", task.LeaseName, "err", err)
		if pause(ctx, c.ttl) != nil {
			return
		}
	}
}

// setHandle records the handle of a lease that is held; a nil handle removes it.
func (c *Controller) setHandle(leaseName string, handle *lease.Handle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if handle == nil {
		delete(c.held, leaseName)
		return
	}
	c.held[leaseName] = handle
}

func (c *Controller) handle(leaseName string) *lease.Handle {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held[leaseName]
}

// HeldTokens returns the fencing tokens of the tasks' leases that this controller holds, by lease name.
func (c *Controller) HeldTokens() map[string]uint64 {
	c.mu.Lock()
	handles := make([]*lease.Handle, 0, len(c.held))
	for _, handle := range c.held {
		handles = append(handles, handle)
	}
	c.mu.Unlock()
	tokens := make(map[string]uint64, len(handles))
	for _, handle := range handles {
		tokens[handle.LeaseName()] = handle.Token()
	}
	return tokens
}

// HandOver stops a task and transfers its lease to another controller that is queued for it.
func (c *Controller) HandOver(leaseName, to string) {
	if handle := c.handle(leaseName); handle != nil {
		slog.Info("controller: handing over task", "lease", leaseName, "to", to)
		handle.HandOver(to)
	}
}

// pause waits for d. If ctx ends first, it returns ctx's error.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
