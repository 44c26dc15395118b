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

// DrainsLease is the lease of the task that runs drains.
const DrainsLease = "drains"

const (
	// drainPollInterval is between two looks for drains that were handed over.
	drainPollInterval = 500 * time.Millisecond
	// maxConcurrentDrains bounds them: each waits, most of its time.
	maxConcurrentDrains = 64
	// drainRetryDelay is the pause after one that failed.
	drainRetryDelay = 5 * time.Second
)

// drainTask runs what barleyctl has handed over. Its writes are fenced; to stop a server
// is a timed act, which is harmless twice by what the stop command has to be.
type drainTask struct {
	config *drain.Config
	client *client.Client
}

// leasedFleet stops servers only while the lease is held.
type leasedFleet struct {
	drain.Fleet
	term *lease.Handle
	ttl  time.Duration
}

func (f leasedFleet) Stop(ctx context.Context, machine, host string) error {
	return f.term.Do(ctx, f.ttl/4, func(ctx context.Context) error { return f.Fleet.Stop(ctx, machine, host) })
}

func (t *drainTask) run(ctx context.Context, term *lease.Handle) error {
	under := t.config.WorkflowWith(fencedRegistry{t.client, term}, drain.OwnerControllers, drainPollInterval, func(e drain.Event) {
		slog.Info("drain: "+e.String(), "lease", term.LeaseName(), "token", term.Token())
	})
	under.Fleet = leasedFleet{under.Fleet, term, term.TTL()}
	var all sync.WaitGroup
	defer all.Wait()
	var mu sync.Mutex
	running := make(map[string]bool)
	for {
		handed, err := under.HandedOver(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			slog.Warn("drains: not read", "lease", term.LeaseName(), "token", term.Token(), "err", err)
		}
		mu.Lock()
		for _, d := range handed {
			if running[d.Machine] || len(running) >= maxConcurrentDrains {
				continue
			}
			running[d.Machine] = true
			all.Go(func() {
				err := under.Resume(ctx, d)
				switch {
				case ctx.Err() != nil:
				case errors.Is(err, drain.ErrClaimLost), errors.Is(err, drain.ErrTimeout), errors.Is(err, registry.ErrFenced):
					slog.Info("drain: given up", "machine", d.Machine, "token", term.Token(), "err", err)
				case err != nil:
					slog.Warn("drain: hindered", "machine", d.Machine, "token", term.Token(), "err", err)
					pause(ctx, drainRetryDelay)
				}
				mu.Lock()
				delete(running, d.Machine)
				mu.Unlock()
			})
		}
		mu.Unlock()
		if err := pause(ctx, drainPollInterval); err != nil {
			return err
		}
	}
}
