package system

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"barleywick/internal/registry"
)

const (
	// callTimeout is for one call, tries how often one is made: each may be carried out.
	callTimeout = 400 * time.Millisecond
	maxAttempts = 4
)

// client is a task's way to the registry.
type client struct {
	*task
	w         *world
	fence     func() *registry.Fence // of the lease that it writes under; nil: none
	preferred int                    // which replica it asks first
}

func (w *world) newClient(t *task) *client { return &client{task: t, w: w, preferred: w.rng.IntN(3)} }

// callReplicas asks one replica after the other until one has answered something other than that
// it does not lead.
func (c *client) callReplicas(ask func(r *replica, reply func(error))) error {
	last := errUnresponsive
	for n := range maxAttempts * len(c.w.raft.replicas) {
		r := c.w.raft.replicas[c.preferred]
		var err error
		if !c.call(&r.process, callTimeout, func(reply func(take func())) {
			ask(r, func(e error) { reply(func() { err = e }) })
		}) {
			err = errUnresponsive
		}
		if err == nil || !errors.Is(err, errUnresponsive) && !errors.Is(err, errNotLeader) {
			return err
		}
		last = err
		c.preferred = (c.preferred + 1) % len(c.w.raft.replicas)
		if n >= maxAttempts && !errors.Is(err, errNotLeader) {
			break
		}
		c.sleep(c.jitter(20 * time.Millisecond))
	}
	return fmt.Errorf("the registry is out of reach: %w", last)
}

// apply has a command carried out. It may be, also where an error says that nobody answered.
func (c *client) apply(cmd registry.Command) (res registry.Result, err error) {
	if c.fence != nil && cmd.Fence == nil && cmd.Lease == nil {
		cmd.Fence = c.fence()
	}
	err = c.callReplicas(func(r *replica, reply func(error)) {
		c.w.raft.write(r, cmd, func(got registry.Result, err error) {
			res = got
			reply(err)
		})
	})
	return res, err
}

// readVerified looks at the state as it is once the leader has made sure that it is one.
func (c *client) readVerified(look func(s *registry.State)) error {
	return c.callReplicas(func(r *replica, reply func(error)) {
		c.w.raft.verifyLeadership(r, func() {
			look(r.state)
			reply(nil)
		}, reply)
	})
}

// readStale looks at any replica's state, which may be behind.
func (c *client) readStale(look func(s *registry.State)) error {
	return c.callReplicas(func(r *replica, reply func(error)) {
		look(r.state)
		reply(nil)
	})
}

// The registry as a drain's workflow needs it.

// Registrations is the list with what it does not show.
func (c *client) Registrations(context.Context) (a registry.RegistrationsResponse, err error) {
	err = c.readVerified(func(s *registry.State) {
		a = registry.RegistrationsResponse{Group: s.Group(), Seq: s.Seq(), Registrations: s.Registrations(), Marks: s.Marks()}
	})
	return a, err
}

// Record reads a record.
func (c *client) Record(_ context.Context, key string) (rec registry.Record, err error) {
	found := false
	if err = c.readVerified(func(s *registry.State) { rec, found = s.Record(key) }); err == nil && !found {
		err = registry.ErrNotFound
	}
	return rec, err
}

// Put writes a record.
func (c *client) Put(_ context.Context, key string, value []byte, ifVersion *uint64) (uint64, error) {
	res, err := c.apply(registry.Command{Op: registry.OpPutRecord, Key: key, Value: slices.Clone(value), IfVersion: ifVersion})
	return res.Version, err
}

// Mark marks hosts.
func (c *client) Mark(_ context.Context, m registry.MarkRequest) (registry.WriteResponse, error) {
	res, err := c.apply(registry.Command{Op: registry.OpMark, Hosts: m.Hosts, MarkedBy: m.MarkedBy, Draining: m.Draining, IfVersion: m.IfVersion, IfRecord: m.IfRecord, IfRecordVersion: m.IfRecordVersion})
	return registry.WriteResponse{Version: res.Version, Seq: res.Seq}, err
}
