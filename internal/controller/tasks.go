package controller

import (
	"context"
	"slices"

	"barleywick/internal/lease"
	"barleywick/internal/overload"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// Task is work of which one process does its part at a time.
type Task struct {
	LeaseName string
	Run       func(ctx context.Context, term *lease.Handle) error
	// Timed says that its acts reach what knows no token. A keeper that has lost more than
	// half of the fleet's members gives such a task up.
	Timed bool
}

// fencedRegistry is the registry under a grant: whatever is written takes effect only while
// the grant is the lease's.
type fencedRegistry struct {
	*client.Client
	term *lease.Handle
}

func (f fencedRegistry) Put(ctx context.Context, key string, value []byte, ifVersion *uint64) (uint64, error) {
	return f.PutFenced(ctx, key, value, ifVersion, f.term.Fence())
}

func (f fencedRegistry) Mark(ctx context.Context, m registry.MarkRequest) (registry.WriteResponse, error) {
	m.Fence = f.term.Fence()
	return f.Client.Mark(ctx, m)
}

// Tasks are the real tasks that a configuration names.
func (c *Config) Tasks(k *Controller) []Task {
	if k == nil {
		k = new(Controller) // only their names are wanted
	}
	var all []Task
	if c.Drains != nil {
		all = append(all, Task{LeaseName: DrainsLease, Run: (&drainTask{config: c.drains, client: k.client}).run})
	}
	if c.Health != nil {
		for shard := range healthShards {
			h := &healthTask{config: *c.Health, client: k.client, fleet: k.fleet, shard: shard}
			all = append(all, Task{LeaseName: h.leaseName(), Run: h.run, Timed: true})
		}
	}
	if c.Policy != nil {
		all = append(all, Task{LeaseName: PolicyLease, Run: (&policyTask{client: k.client}).run})
	}
	if c.Overload != nil {
		all = append(all, Task{LeaseName: overload.LeaseName, Run: (&overloadTask{config: *c.Overload, client: k.client, fleet: k.fleet}).run, Timed: true})
	}
	if c.ListCache != nil {
		all = append(all, Task{LeaseName: "copies", Run: (&listCacheTask{config: *c.ListCache, client: k.client}).run})
	}
	return slices.Clip(all)
}
