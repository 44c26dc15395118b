package client

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"barleywick/internal/registry"
)

const (
	// renewalsPerTTL is how many fall into a time to live: two may be lost, or an
	// election come between, before the session ends.
	renewalsPerTTL = 4
	// deregisterTimeout is how long an instance that ends tries to say so.
	deregisterTimeout = 2 * time.Second
)

// KeepRegistered registers an instance and keeps it registered until ctx ends; then it takes
// it out. It survives the loss of any replica, of the leader, and of all of them
// for a while: the registry gives every session its full time after each. registered
// is called after each time that the registry took the instance in. The error is a
// plain refusal; everything else is tried again.
func (c *Client) KeepRegistered(ctx context.Context, r registry.RegisterRequest, registered func(registry.WriteResponse)) error {
	ttl := time.Duration(r.TTLMS) * time.Millisecond
	for {
		a, err := c.Register(ctx, r)
		if ctx.Err() != nil {
			return c.deregister(ctx, r)
		}
		if err != nil {
			return err
		}
		if registered != nil {
			registered(a)
		}
		if err := c.renewUntil(ctx, r, ttl/renewalsPerTTL); errors.Is(err, registry.ErrNotFound) {
			slog.Warn("registry: the session is gone, registering again", "host", r.Instance.Host)
			continue
		} else if ctx.Err() == nil {
			return err
		}
		return c.deregister(ctx, r)
	}
}

// renewUntil keeps the session alive until it cannot.
func (c *Client) renewUntil(ctx context.Context, r registry.RegisterRequest, every time.Duration) error {
	for {
		select {
		case <-time.After(c.jitter(every)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.RenewSession(ctx, r.Instance.Host, r.Session); err != nil {
			return err
		}
	}
}

// deregister takes the instance out, as good as it can in a short time: its session
// ends by itself otherwise.
func (c *Client) deregister(ctx context.Context, r registry.RegisterRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	err := c.Remove(ctx, r.Instance.Host, r.Session)
	if errors.Is(err, registry.ErrHostTaken) {
		return nil // somebody else has it by now
	}
	return err
}
