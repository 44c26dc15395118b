package lease

import (
	"context"
	"time"

	"barleywick/internal/registry"
)

// Handle gives a task access to the lease under which it runs. It is safe for concurrent use.
type Handle struct {
	manager *Manager
	session Session       // guarded by the manager's lock
	changed chan struct{} // closed and replaced when the session changes; guarded by the manager's lock
}

// sessionStatus is a snapshot of a session.
type sessionStatus struct {
	held           bool
	ended          bool
	yieldRequested bool
	remaining      time.Duration   // until the deadline of acts
	changed        <-chan struct{} // closed when the session changes
}

// LeaseName returns the name of the lease.
func (h *Handle) LeaseName() string { return h.session.LeaseName }

// TTL returns the lease's time to live.
func (h *Handle) TTL() time.Duration { return h.session.TTL }

// Token returns the fencing token of the grant.
func (h *Handle) Token() uint64 {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	return h.session.Token()
}

// Fence returns the condition that makes a write depend on the grant.
func (h *Handle) Fence() *registry.Fence {
	return &registry.Fence{Lease: h.session.LeaseName, Token: h.Token()}
}

// Held reports whether the lease is held at this moment.
func (h *Handle) Held() bool {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	return h.session.Held(h.manager.options.Clock())
}

// BeginAct begins one act, and returns a context that ends before the lease does. It fails
// if the lease may end before the act. It has to be called right before each act, because
// the process may have been suspended since the previous one.
func (h *Handle) BeginAct(ctx context.Context, takes time.Duration) (context.Context, context.CancelFunc, error) {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	now := h.manager.options.Clock()
	if err := h.session.CheckAct(now, takes); err != nil {
		return nil, nil, err
	}
	actCtx, cancel := context.WithTimeoutCause(ctx, h.session.Deadline()-now, ErrLapsed)
	return actCtx, cancel, nil
}

// RunAct runs one act with the context that BeginAct returns.
func (h *Handle) RunAct(ctx context.Context, takes time.Duration, act func(ctx context.Context) error) error {
	actCtx, cancel, err := h.BeginAct(ctx, takes)
	if err != nil {
		return err
	}
	defer cancel()
	return act(actCtx)
}

// HandOver ends the task that runs under the lease, and releases the lease to the named
// process in its queue, or to the first one if the name is empty.
func (h *Handle) HandOver(to string) {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	h.session.RequestYield(to)
	h.notifyChanged()
}

func (h *Handle) status() sessionStatus {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	now := h.manager.options.Clock()
	_, yieldRequested := h.session.YieldRequested()
	return sessionStatus{
		held:           h.session.Held(now),
		ended:          h.session.Ended(now),
		yieldRequested: yieldRequested,
		remaining:      h.session.Deadline() - now,
		changed:        h.changed,
	}
}

// awaitGrant waits until the queued claim is granted.
func (h *Handle) awaitGrant(ctx context.Context) error {
	for {
		status := h.status()
		switch {
		case status.held:
			return nil
		case status.ended:
			return ErrLapsed
		}
		select {
		case <-status.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notifyChanged wakes the goroutines that wait for a change of the session. The caller holds
// the manager's lock.
func (h *Handle) notifyChanged() {
	close(h.changed)
	h.changed = make(chan struct{})
}
