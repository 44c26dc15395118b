package controller

import (
	"context"
	"slices"

	"barleywick/internal/lease"
	"barleywick/internal/overload"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// Leases of the tasks; that of the overload task is overload.LeaseName, those of the health
// checks are health-0 and so on.
const (
	DrainsLease = "drains"
	PolicyLease = "policy"
	BackupLease = "copies"
)

// Task is work that one controller does at a time.
type Task struct {
	LeaseName string
	// Run does the work until ctx ends, which it does with the lease.
	Run func(ctx context.Context, handle *lease.Handle) error
	// Timed says that its acts reach something that checks no fencing token. A controller that
	// has lost more than half of the fleet's members gives such a task up.
	Timed bool
}

// Tasks returns the tasks that a configuration names, for a controller.
func (c *Config) Tasks(controller *Controller) []Task {
	var tasks []Task
	if c.Drains != nil {
		t := &drainTask{config: c.drains, client: controller.client}
		tasks = append(tasks, Task{LeaseName: DrainsLease, Run: t.run})
	}
	if c.Health != nil {
		for shard := range healthShards {
			t := &healthTask{config: *c.Health, client: controller.client, fleet: controller.fleet, shard: shard}
			tasks = append(tasks, Task{LeaseName: t.leaseName(), Run: t.run, Timed: true})
		}
	}
	if c.Policy != nil {
		t := &policyTask{client: controller.client}
		tasks = append(tasks, Task{LeaseName: PolicyLease, Run: t.run})
	}
	if c.Overload != nil {
		t := &overloadTask{config: *c.Overload, client: controller.client, fleet: controller.fleet}
		tasks = append(tasks, Task{LeaseName: overload.LeaseName, Run: t.run, Timed: true})
	}
	if c.Backup != nil {
		t := &backupTask{config: *c.Backup, client: controller.client}
		tasks = append(tasks, Task{LeaseName: BackupLease, Run: t.run})
	}
	return slices.Clip(tasks)
}

// LeaseNames returns the leases of the tasks that a configuration names.
func (c *Config) LeaseNames() []string {
	var names []string
	for _, task := range c.Tasks(new(Controller)) {
		names = append(names, task.LeaseName)
	}
	return names
}

// fencedRegistry is the registry as a lease holder writes to it: a write takes effect only while
// the grant is the lease's.
type fencedRegistry struct {
	*client.Client
	handle *lease.Handle
}

// Put writes a record under the fence.
func (r fencedRegistry) Put(ctx context.Context, key string, value []byte, ifVersion *uint64) (uint64, error) {
	return r.PutFenced(ctx, key, value, ifVersion, r.handle.Fence())
}

// Mark marks endpoints under the fence.
func (r fencedRegistry) Mark(ctx context.Context, m registry.MarkRequest) (registry.WriteResponse, error) {
	m.Fence = r.handle.Fence()
	return r.Client.Mark(ctx, m)
}
