package controller

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

const (
	drainPollInterval   = 500 * time.Millisecond // between two checks for drains that were handed over
	maxConcurrentDrains = 64                     // each is idle most of the time
	drainRetryDelay     = 5 * time.Second        // after a drain has failed
	// stopTimeoutDivisor divides a lease's TTL; the result is the timeout of a stop command.
	stopTimeoutDivisor = 4
)

// drainTask runs the drains that were handed over to the controllers. Its writes are fenced. Stopping
// a server is a timed act without fencing, so the stop command has to be idempotent.
type drainTask struct {
	config *drain.Config
	client *client.Client
}

// leasedFleet stops servers only while the lease is held.
type leasedFleet struct {
	drain.Fleet
	handle *lease.Handle
}

// Stop stops a server as a timed act under the lease.
func (f leasedFleet) Stop(ctx context.Context, machine, host string) error {
	return f.handle.RunAct(ctx, f.handle.TTL()/stopTimeoutDivisor, func(ctx context.Context) error {
		return f.Fleet.Stop(ctx, machine, host)
	})
}

func (t *drainTask) run(ctx context.Context, handle *lease.Handle) error {
	workflow := t.config.WorkflowWith(fencedRegistry{t.client, handle}, drain.OwnerControllers, drainPollInterval, func(e drain.Event) {
		logDrainEvent(e, handle)
	})
	workflow.Fleet = leasedFleet{workflow.Fleet, handle}
	runner := &drainRunner{workflow: workflow, handle: handle, machines: make(map[string]bool)}
	defer runner.running.Wait()
	for {
		drains, err := workflow.HandedOver(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			slog.Warn("drain: record not read", "lease", handle.LeaseName(), "token", handle.Token(), "err", err)
		}
		runner.start(ctx, drains)
		if err := pause(ctx, drainPollInterval); err != nil {
			return err
		}
	}
}

// drainRunner runs drains concurrently, at most one for each machine.
type drainRunner struct {
	workflow *drain.Workflow
	handle   *lease.Handle
	running  sync.WaitGroup

	mu       sync.Mutex
	machines map[string]bool // those with a running drain
}

// start starts the drains that are not running yet, up to maxConcurrentDrains.
func (r *drainRunner) start(ctx context.Context, drains []drain.Drain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range drains {
		if r.machines[d.Machine] || len(r.machines) >= maxConcurrentDrains {
			continue
		}
		r.machines[d.Machine] = true
		r.running.Go(func() {
			r.resume(ctx, d)
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.machines, d.Machine)
		})
	}
}

// resume runs a drain until it ends or fails, and delays the next attempt after a failure.
func (r *drainRunner) resume(ctx context.Context, d drain.Drain) {
	err := r.workflow.Resume(ctx, d)
	switch {
	case ctx.Err() != nil || err == nil:
	case errors.Is(err, drain.ErrClaimLost), errors.Is(err, drain.ErrTimeout), errors.Is(err, registry.ErrFenced):
		slog.Info("drain: stopped", "machine", d.Machine, "token", r.handle.Token(), "err", err)
	default:
		slog.Warn("drain: failed", "machine", d.Machine, "token", r.handle.Token(), "err", err)
		_ = pause(ctx, drainRetryDelay) // returns early if ctx ends
	}
}

func logDrainEvent(e drain.Event, handle *lease.Handle) {
	log := slog.With("machine", e.Machine, "lease", handle.LeaseName(), "token", handle.Token())
	switch e.Kind {
	case drain.EventClaimed:
		log.Info("drain: claimed", "step", e.Step, "servers", e.Hosts)
	case drain.EventWaiting, drain.EventNoted:
		log.Info("drain: waiting", "step", e.Step, "note", e.Note)
	case drain.EventUndone:
		log.Info("drain: undone", "servers", e.Hosts)
	default:
		log.Info("drain: step reached", "step", e.Step)
	}
}
