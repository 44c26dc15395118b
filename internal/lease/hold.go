package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"time"

	"barleywick/internal/registry"
)

var errYieldRequested = errors.New("the lease was asked for")

// Hold runs a task whenever this process holds a lease, until ctx ends or the task
// returns nil. The task's context ends with the lease; a new claim begins only when
// the task has returned.
func (m *Manager) Hold(ctx context.Context, name string, task func(ctx context.Context, t *Handle) error) error {
	pause := m.TTL / renewalsPerTTL
	for {
		held, err := m.holdOnce(ctx, name, task)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case held && err == nil:
			return nil
		case errors.Is(err, registry.ErrInvalid), errors.Is(err, registry.ErrLimitReached):
			return fmt.Errorf("lease %s: %w", name, err)
		case err != nil:
			slog.Warn("lease: once more", "lease", name, "holder", m.Holder.Name, "err", err)
		}
		select { // a task that fails at once must not make the registry's log grow as fast as it can
		case <-time.After(pause/2 + mathrand.N(pause)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// holdOnce is one claim, from its asking to its end.
func (m *Manager) holdOnce(ctx context.Context, name string, task func(ctx context.Context, t *Handle) error) (held bool, err error) {
	t := &Handle{manager: m, changed: make(chan struct{})}
	t.session = Session{LeaseName: name, ClaimID: rand.Text(), Holder: m.Holder, TTL: m.TTL}
	m.mu.Lock()
	t.session.AcquireSent(m.Clock())
	m.mu.Unlock()
	defer m.release(ctx, t)
	in, cancel := context.WithTimeout(ctx, m.TTL)
	a, err := m.Registry.Acquire(in, name, registry.AcquireRequest{
		Claim: registry.Claim{ID: t.session.ClaimID, Holder: m.Holder, TTLMS: m.TTL.Milliseconds()}, Wait: true,
	})
	cancel()
	if err != nil {
		return false, err
	}
	m.mu.Lock()
	m.handles[t.session.ClaimID] = t
	t.session.Acquired(a, m.Clock())
	m.mu.Unlock()
	if err := t.awaitGrant(ctx); err != nil {
		return false, err
	}
	return true, t.runTask(ctx, task)
}

// runTask runs the task until it returns; its context ends when the lease does.
func (t *Handle) runTask(ctx context.Context, task func(ctx context.Context, t *Handle) error) error {
	m := t.manager
	m.grants.Add(1)
	log := slog.With("lease", t.LeaseName(), "holder", m.Holder.Name, "token", t.Token())
	log.Info("lease: held")
	in, end := context.WithCancelCause(ctx)
	defer end(nil)
	done := make(chan error, 1)
	go func() { done <- task(in, t) }() // waited for below
	for {
		_, over, leave, left, changed := t.status()
		switch {
		case over:
			m.lapses.Add(1)
			log.Warn("lease: lapsed, its task stops")
			end(ErrLapsed)
			<-done
			return ErrLapsed
		case leave:
			log.Info("lease: asked to give it up")
			end(context.Canceled)
			<-done
			return errYieldRequested
		}
		select {
		case err := <-done:
			log.Info("lease: its task has ended", "err", err)
			return err
		case <-changed:
		case <-time.After(left):
		}
	}
}

// release ends the claim when its task has returned.
func (m *Manager) release(ctx context.Context, t *Handle) {
	m.mu.Lock()
	delete(m.handles, t.session.ClaimID)
	t.session.Resign()
	to, _ := t.session.YieldRequested()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	r := registry.ReleaseRequest{ClaimID: t.session.ClaimID, Holder: m.Holder, NextHolder: to}
	err := m.Registry.Release(ctx, t.session.LeaseName, r)
	if to != "" && errors.Is(err, registry.ErrNotFound) { // it has gone meanwhile: whoever waits longest has it next
		r.NextHolder = ""
		err = m.Registry.Release(ctx, t.session.LeaseName, r)
	}
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		slog.Debug("lease: not released, its time will be up", "lease", t.session.LeaseName, "err", err)
	}
}
