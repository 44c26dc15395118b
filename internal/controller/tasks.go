package controller

import (
	"context"
	"slices"

	"barleywick/internal/lease"
	"barleywick/internal/overload"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// Names of the tasks' leases. The overload task uses overload.LeaseName, and the health checks use
// health-0 to health-7, one for each shard.
const (
	DrainsLease = "drains"
	PolicyLease = "policy"
	BackupLease = "copies"
)

// Task is work that only one controller does at a time.
type Task struct {
	LeaseName string
	// Run does the work until ctx ends. ctx ends when the lease ends.
	Run func(ctx context.Context, handle *lease.Handle) error
	// Timed marks a task that acts on systems which check no fencing token. A controller from which
	// more than half of the fleet's members are unreachable stops such a task.
	Timed bool
}

// Tasks returns the configured tasks, for a controller.
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

// LeaseNames returns the names of the configured tasks' leases.
func (c *Config) LeaseNames() []string {
	var names []string
	for _, task := range c.Tasks(new(Controller)) {
		names = append(names, task.LeaseName)
	}
	return names
}

// fencedRegistry is a registry client whose writes are fenced: a write takes effect only while the
// handle's grant is the current one of the lease.
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
