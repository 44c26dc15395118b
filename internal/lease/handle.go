package lease

import (
	"context"
	"time"

	"barleywick/internal/registry"
)

// Handle is a task's view of the lease that it runs under.
type Handle struct {
	manager *Manager
	session Session // under the member's lock
	changed chan struct{}
}

// LeaseName is the lease's.
func (t *Handle) LeaseName() string { return t.session.LeaseName }

// TTL is the lease's time to live.
func (t *Handle) TTL() time.Duration { return t.session.TTL }

// Token is the fencing token of the grant.
func (t *Handle) Token() uint64 {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	return t.session.Token()
}

// Fence makes a write conditional on the grant.
func (t *Handle) Fence() *registry.Fence {
	return &registry.Fence{Lease: t.session.LeaseName, Token: t.Token()}
}

// Held says whether the lease is held at this moment.
func (t *Handle) Held() bool {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	return t.session.Held(t.manager.Clock())
}

// BeginAct begins one act: it is refused unless the lease is held and lasts for as long as
// the act may take, and gets a context that ends before the lease does. To be called
// right before each act: a process may have been stopped since the last one.
func (t *Handle) BeginAct(ctx context.Context, takes time.Duration) (context.Context, context.CancelFunc, error) {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	now := t.manager.Clock()
	if err := t.session.CheckAct(now, takes); err != nil {
		return nil, nil, err
	}
	in, cancel := context.WithTimeoutCause(ctx, t.session.Deadline()-now, ErrLapsed)
	return in, cancel, nil
}

// Do carries one act out.
func (t *Handle) Do(ctx context.Context, takes time.Duration, act func(ctx context.Context) error) error {
	in, cancel, err := t.BeginAct(ctx, takes)
	if err != nil {
		return err
	}
	defer cancel()
	return act(in)
}

// HandOver asks the term's own task to end, and for the lease to go to another who
// waits for it.
func (t *Handle) HandOver(to string) {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	t.session.RequestYield(to)
	t.notifyChanged()
}

// status tells how the term stands, and what to wait for.
func (t *Handle) status() (held, over, leave bool, left time.Duration, changed <-chan struct{}) {
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	now := t.manager.Clock()
	held, over = t.session.Held(now), t.session.Ended(now)
	_, leave = t.session.YieldRequested()
	return held, over, leave, t.session.Deadline() - now, t.changed
}

// awaitGrant waits in the line.
func (t *Handle) awaitGrant(ctx context.Context) error {
	for {
		held, over, _, _, changed := t.status()
		switch {
		case held:
			return nil
		case over:
			return ErrLapsed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notifyChanged tells whoever waits on the term. The lock is held.
func (t *Handle) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}
