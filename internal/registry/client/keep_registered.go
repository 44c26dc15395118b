package client

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"barleywick/internal/registry"
)

const (
	// renewalsPerTTL is how many renewals fall into a time to live: two may be lost, or an
	// election may take place, before the session expires.
	renewalsPerTTL = 4
	// deregisterTimeout is how long an instance that ends tries to remove itself.
	deregisterTimeout = 2 * time.Second
)

// KeepRegistered registers an instance, keeps it registered until ctx ends, and then
// removes it. It survives the loss of any replica, of the leader, and of all of them for a
// while: the registry gives every session its full time afterwards. The function
// registered, if not nil, is called after each registration. The returned error is a
// refusal by the registry; everything else is tried again.
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

// renewUntilError keeps the session alive until a renewal fails or ctx ends.
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

// deregister removes the instance if that can be done in a short time. Its session expires
// otherwise.
func (c *Client) deregister(ctx context.Context, r registry.RegisterRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	err := c.Remove(ctx, r.Instance.Host, r.Session)
	if errors.Is(err, registry.ErrHostTaken) { // another session has the host by now
		return nil
	}
	return err
}
