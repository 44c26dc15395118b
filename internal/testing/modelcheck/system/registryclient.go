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
	// callTimeout bounds one attempt of a call. maxAttempts bounds the attempts per replica; the
	// registry may execute each of them.
	callTimeout = 400 * time.Millisecond
	maxAttempts = 4
)

// client is a task's client of the registry.
type client struct {
	*task
	w         *world
	fence     func() *registry.Fence // returns the fence of the lease that the task writes under; nil: none
	preferred int                    // index of the replica that is tried first
}

func (w *world) newClient(t *task) *client { return &client{task: t, w: w, preferred: w.rng.IntN(3)} }

// callReplicas sends a call to one replica after another until one replies with a result other than
// errNotLeader.
func (c *client) callReplicas(send func(r *replica, reply func(error))) error {
	lastErr := errUnresponsive
	for n := range maxAttempts * len(c.w.raft.replicas) {
		r := c.w.raft.replicas[c.preferred]
		var err error
		if !c.call(&r.process, callTimeout, func(reply func(accept func())) {
			send(r, func(e error) { reply(func() { err = e }) })
		}) {
			err = errUnresponsive
		}
		if err == nil || !errors.Is(err, errUnresponsive) && !errors.Is(err, errNotLeader) {
			return err
		}
		lastErr = err
		c.preferred = (c.preferred + 1) % len(c.w.raft.replicas)
		if n >= maxAttempts && !errors.Is(err, errNotLeader) {
			break
		}
		c.sleep(c.jitter(20 * time.Millisecond))
	}
	return fmt.Errorf("the registry is unreachable: %w", lastErr)
}

// apply submits a command to the registry. After an error the command may still have been applied.
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

// readVerified reads the state of a leader that has verified its leadership.
func (c *client) readVerified(read func(s *registry.State)) error {
	return c.callReplicas(func(r *replica, reply func(error)) {
		c.w.raft.verifyLeadership(r, func() {
			read(r.state)
			reply(nil)
		}, reply)
	})
}

// readStale reads the state of any replica, which may be stale.
func (c *client) readStale(read func(s *registry.State)) error {
	return c.callReplicas(func(r *replica, reply func(error)) {
		read(r.state)
		reply(nil)
	})
}

// The methods below implement drain.Registry.

// Registrations returns the endpoint list with the registrations' details and the drain marks.
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

// Mark sets or clears the drain marks of hosts.
func (c *client) Mark(_ context.Context, m registry.MarkRequest) (registry.WriteResponse, error) {
	res, err := c.apply(registry.Command{Op: registry.OpMark, Hosts: m.Hosts, MarkedBy: m.MarkedBy, Draining: m.Draining, IfVersion: m.IfVersion, IfRecord: m.IfRecord, IfRecordVersion: m.IfRecordVersion})
	return registry.WriteResponse{Version: res.Version, Seq: res.Seq}, err
}
