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

// releaseTimeout limits a release call. The call only saves the next holder from waiting
// until the time to live has passed.
const releaseTimeout = 2 * time.Second

// errYieldRequested ends a claim whose lease is to be released to another process.
var errYieldRequested = errors.New("a yield of the lease was requested")

// Task is work that runs under a lease. Its context ends when the lease does.
type Task func(ctx context.Context, h *Handle) error

// Hold runs a task whenever this process holds a lease, until ctx ends or the task
// returns nil. The next claim begins only after the task has returned.
func (m *Manager) Hold(ctx context.Context, name string, task Task) error {
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
			slog.Warn("lease: retrying", "lease", name, "holder", m.options.Holder.Name, "err", err)
		}
		// The pause keeps a task that fails at once from filling the registry's log.
		pause := m.renewInterval()
		select {
		case <-time.After(pause/2 + mathrand.N(pause)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// holdOnce makes one claim, runs the task when the claim is granted, and releases it. It
// reports whether the lease was held.
func (m *Manager) holdOnce(ctx context.Context, name string, task Task) (held bool, err error) {
	h := m.newHandle(name)
	defer m.release(ctx, h)
	if err := m.acquire(ctx, h); err != nil {
		return false, err
	}
	if err := h.awaitGrant(ctx); err != nil {
		return false, err
	}
	return true, h.runTask(ctx, task)
}

// newHandle returns the handle of a new claim, whose time to live is measured from now on.
func (m *Manager) newHandle(name string) *Handle {
	h := &Handle{
		manager: m,
		session: Session{LeaseName: name, ClaimID: rand.Text(), Holder: m.options.Holder, TTL: m.options.TTL},
		changed: make(chan struct{}),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h.session.AcquireSent(m.options.Clock())
	return h
}

// acquire sends the acquire call, and registers the claim for renewal.
func (m *Manager) acquire(ctx context.Context, h *Handle) error {
	callCtx, cancel := context.WithTimeout(ctx, m.options.TTL)
	defer cancel()
	status, err := m.options.Registry.Acquire(callCtx, h.session.LeaseName, registry.AcquireRequest{
		Claim: registry.Claim{ID: h.session.ClaimID, Holder: m.options.Holder, TTLMS: m.options.TTL.Milliseconds()},
		Wait:  true,
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handles[h.session.ClaimID] = h
	h.session.Acquired(status, m.options.Clock())
	return nil
}

// runTask runs the task until it returns. The task's context ends when the lease does or
// a yield is requested.
func (h *Handle) runTask(ctx context.Context, task Task) error {
	m := h.manager
	m.grants.Add(1)
	log := slog.With("lease", h.LeaseName(), "holder", m.options.Holder.Name, "token", h.Token())
	log.Info("lease: granted")
	taskCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var taskErr error
	done := make(chan struct{})
	go func() { // every return below waits for this goroutine
		defer close(done)
		taskErr = task(taskCtx, h)
	}()
	for {
		status := h.status()
		switch {
		case status.ended:
			m.lapses.Add(1)
			log.Warn("lease: lapsed, stopping task")
			cancel(ErrLapsed)
			<-done
			return ErrLapsed
		case status.yieldRequested:
			log.Info("lease: yield requested, stopping task")
			cancel(context.Canceled)
			<-done
			return errYieldRequested
		}
		select {
		case <-done:
			log.Info("lease: task ended", "err", taskErr)
			return taskErr
		case <-status.changed:
		case <-time.After(status.remaining):
		}
	}
}

// release ends the claim after its task has returned. If the process to which the lease is
// to be released no longer waits, the first in the queue gets it.
func (m *Manager) release(ctx context.Context, h *Handle) {
	m.mu.Lock()
	delete(m.handles, h.session.ClaimID)
	h.session.Resign()
	to, _ := h.session.YieldRequested()
	m.mu.Unlock()

	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	request := registry.ReleaseRequest{ClaimID: h.session.ClaimID, Holder: m.options.Holder, NextHolder: to}
	err := m.options.Registry.Release(callCtx, h.session.LeaseName, request)
	if to != "" && errors.Is(err, registry.ErrNotFound) {
		request.NextHolder = ""
		err = m.options.Registry.Release(callCtx, h.session.LeaseName, request)
	}
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		slog.Debug("lease: release failed", "lease", h.session.LeaseName, "err", err)
	}
}
