package client

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"barleywick/internal/registry"
)

const (
	// renewalsPerTTL is the number of renewals per time to live, so that a session survives
	// two lost renewals or an election.
	renewalsPerTTL = 4
	// deregisterTimeout limits the removal of an instance that shuts down.
	deregisterTimeout = 2 * time.Second
)

// KeepRegistered registers an instance, keeps it registered until ctx ends, and then
// removes it. The registration survives the failure of any replica including the leader,
// and a temporary failure of all of them, since a new leader gives every session its full
// time to live. The function registered, if not nil, is called after each registration. The
// returned error is a rejection by the registry; all other failures are retried.
func (c *Client) KeepRegistered(ctx context.Context, r registry.RegisterRequest, registered func(registry.WriteResponse)) error {
	ttl := time.Duration(r.TTLMS) * time.Millisecond
	for {
		response, err := c.Register(ctx, r)
		if ctx.Err() != nil {
			return c.deregister(ctx, r)
		}
		if err != nil {
			return err
		}
		if registered != nil {
			registered(response)
		}
		err = c.renewUntilError(ctx, r, ttl/renewalsPerTTL)
		switch {
		case errors.Is(err, registry.ErrNotFound):
			slog.Warn("registry: session expired, registering again", "host", r.Instance.Host)
		case ctx.Err() == nil:
			return err
		default:
			return c.deregister(ctx, r)
		}
	}
}

// renewUntilError renews the session until a renewal fails or ctx ends.
func (c *Client) renewUntilError(ctx context.Context, r registry.RegisterRequest, interval time.Duration) error {
	for {
		select {
		case <-time.After(c.jitter(interval)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.RenewSession(ctx, r.Instance.Host, r.Session); err != nil {
			return err
		}
	}
}

// deregister tries to remove the instance within deregisterTimeout. If that fails, the
// instance is removed when its session expires.
func (c *Client) deregister(ctx context.Context, r registry.RegisterRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	err := c.Remove(ctx, r.Instance.Host, r.Session)
	if errors.Is(err, registry.ErrHostTaken) { // the host is registered by another session by now
		return nil
	}
	return err
}
