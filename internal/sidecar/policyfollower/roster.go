package policyfollower

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"sync"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

// synchronize sends the next command to the registry or, if there is none, waits for a newer view.
func (f *Follower) synchronize(ctx context.Context) error {
	command, pending, wait := f.nextCommand()
	f.mu.Lock()
	self, version := f.state.Self, f.state.Version()
	f.mu.Unlock()
	var view rollout.View
	var err error
	if pending {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		view, err = f.client.ApplyPolicyStep(callCtx, command, nil)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, longPollWait+callTimeout)
		defer cancel()
		view, err = f.client.PolicyView(callCtx, self, version, wait)
	}
	return f.handleResponse(ctx, command, view, err)
}

// nextCommand returns the command to send now. If none is pending, it returns how long to wait for a newer view: not at
// all after a call that failed, as the registry may refuse long polls while it answers other calls.
func (f *Follower) nextCommand() (command rollout.Command, pending bool, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if command, pending = f.state.NextCommand(); pending {
		return command, true, 0
	}
	if f.pollFailed {
		return command, false, 0
	}
	change, due := f.state.ReportsRequested()
	if !due {
		return command, false, longPollWait
	}
	if wait = countsInterval - time.Since(f.reportedAt); wait > 0 {
		return command, false, wait
	}
	f.reportedAt = time.Now()
	return rollout.Command{Op: rollout.OpReport, Member: f.state.Self, ChangeNumber: change, Counts: f.counts()}, true, 0
}

// handleResponse processes the registry's response to a command or to a request for its view.
func (f *Follower) handleResponse(ctx context.Context, command rollout.Command, view rollout.View, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pollFailed = err != nil && !f.pollFailed
	switch {
	case err == nil:
		f.state.HandleResult(command, nil)
		if command.Refusal != "" {
			slog.Warn("policy: rollout refused by this sidecar", "change", command.ChangeNumber, "why", command.Refusal)
		}
		f.state.HandleView(view)
	case errors.Is(err, registry.ErrNotFound):
		f.state.HandleResult(command, rollout.ErrNotFound)
		return nil
	case errors.Is(err, registry.ErrConflict) && command.Op == rollout.OpJoin: // evicted, or a newer process joined under the same name
		f.state.LostMembership()
	case errors.Is(err, registry.ErrConflict): // the local view is out of date: fetch the current one
		self := f.state.Self
		f.mu.Unlock()
		view, err = f.client.PolicyView(ctx, self, 0, 0)
		f.mu.Lock()
		if err == nil {
			f.state.HandleView(view)
		}
	}
	return err
}

// acquireLease starts holding the roster lease, which the policy requires for serving.
func (f *Follower) acquireLease(ctx context.Context, tasks *sync.WaitGroup) {
	if f.cancelLease != nil {
		return
	}
	ctx, f.cancelLease = context.WithCancel(ctx)
	tasks.Go(func() { f.holdLease(ctx) })
}

// releaseLease stops holding the roster lease.
func (f *Follower) releaseLease() {
	if f.cancelLease != nil {
		f.cancelLease()
		f.cancelLease = nil
	}
}

// holdLease holds the roster lease until ctx is done.
func (f *Follower) holdLease(ctx context.Context) {
	name := registry.RosterLeasePrefix + f.state.Self.Name
	err := f.leases.Hold(ctx, name, func(ctx context.Context, held *lease.Handle) error {
		f.lease.Store(held)
		defer f.lease.Store(nil)
		<-ctx.Done()
		return ctx.Err()
	})
	if ctx.Err() == nil {
		slog.Error("policy: roster lease cannot be held", "lease", name, "err", err)
	}
}

// leaveRoster removes this sidecar from the roster, so that rollouts no longer wait for it. The policy
// store is removed as well, because it may become outdated from then on.
func (f *Follower) leaveRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout/2)
	defer cancel()
	if _, err := f.client.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpLeave, Member: f.state.Self}, nil); err != nil {
		slog.Warn("policy: leaving the roster failed, rollouts wait until this name starts again or is evicted", "err", err)
		return
	}
	if err := f.store.remove(); err != nil && !errors.Is(err, os.ErrNotExist) {
		slog.Warn("policy: store cannot be removed", "err", err)
	}
}
