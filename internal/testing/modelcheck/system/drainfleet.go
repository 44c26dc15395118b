package system

import (
	"context"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/lease"
	"barleywick/internal/registry"
)

// drainFleet implements drain.Fleet over the simulated servers and sidecars.
type drainFleet struct {
	task    *task
	world   *world
	session *lease.Session
}

// Notified reports whether all sidecars have the given version of the list, or the notification deadline has passed.
func (f drainFleet) Notified(_ context.Context, seq uint64, since time.Time) (bool, error) {
	f.task.sleep(f.task.jitter(messageLatency))
	if f.task.time().Sub(since) >= notificationDeadline {
		return true, nil
	}
	for _, sc := range f.world.sidecars {
		if !sc.up || sc.listVersion < seq {
			return false, nil
		}
	}
	return true, nil
}

// Idle reports whether a server has no requests in flight.
func (f drainFleet) Idle(_ context.Context, e registry.Registration, _ time.Time) (bool, error) {
	f.task.sleep(f.task.jitter(messageLatency))
	return f.world.serverByHost(e.Host).running == 0, nil
}

// RemainingMembers returns no members, as membership is not simulated.
func (f drainFleet) RemainingMembers(context.Context, string) ([]string, bool, error) {
	return nil, false, nil
}

// Stop stops a server. If the drain runs under a lease, it does so only while the lease is held.
func (f drainFleet) Stop(_ context.Context, _, host string) error {
	if f.session != nil {
		if err := f.session.CheckAct(f.task.monotonic(), actDuration); err != nil {
			return err
		}
	}
	f.task.sleep(f.task.jitter(messageLatency))
	f.world.stopServer(host)
	return nil
}

// newWorkflow returns the production drain workflow over the simulated fleet.
func (w *world) newWorkflow(t *task, c *client, owner string, session *lease.Session) *drain.Workflow {
	return &drain.Workflow{
		Registry: c, Fleet: drainFleet{t, w, session}, Floor: drain.Floor{Default: 1}, Owner: owner, ClaimTTL: 5 * time.Second, PollInterval: 100 * time.Millisecond,
		Now:   t.time,
		Sleep: func(_ context.Context, d time.Duration) error { t.sleep(t.jitter(d)); return nil },
		OnEvent: func(e drain.Event) {
			if e.Kind == drain.EventUndone {
				w.recordStep("drain undone")
				return
			}
			w.recordStep("drain " + string(e.Step))
		},
	}
}
