package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
)

// policyPollInterval is the time between two checks of a rollout's time limits. Reports of sidecars
// are processed immediately.
const policyPollInterval = 500 * time.Millisecond

// policyStatusTimeout limits a call for the status, in addition to the time for which it waits for a change.
const policyStatusTimeout = 2 * time.Second

// policyTask leads rollouts of the fleet policy. Each step is fenced, and the registry itself checks
// whether all members of the roster have reported, so the step of an outdated leader has no effect.
type policyTask struct{ client *client.Client }

func (t *policyTask) run(ctx context.Context, handle *lease.Handle) error {
	var after uint64 // the status is awaited until its version is above this; 0: don't wait
	wait := policyPollInterval
	for {
		status, err := t.readStatus(ctx, after, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			slog.Warn("policy: status not read", "lease", handle.LeaseName(), "token", handle.Token(), "err", err)
			if err := pause(ctx, policyPollInterval); err != nil {
				return err
			}
			wait = 0 // the registry may refuse long polls while it answers other calls
			continue
		}
		after, wait = status.Version, policyPollInterval
		step, due := rollout.Decide(status, time.Now().UnixMilli())
		if !due {
			continue
		}
		if err := t.takeStep(ctx, step, handle); err != nil {
			return err
		}
		after = 0
	}
}

// readStatus reads the status of the policy, and waits for a change of it.
func (t *policyTask) readStatus(ctx context.Context, after uint64, wait time.Duration) (rollout.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+policyStatusTimeout)
	defer cancel()
	return t.client.PolicyStatus(ctx, after, wait)
}

// takeStep applies one step of a rollout. It returns an error only if the task has to end.
func (t *policyTask) takeStep(ctx context.Context, step rollout.Command, handle *lease.Handle) error {
	switch _, err := t.client.ApplyPolicyStep(ctx, step, handle.Fence()); {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, registry.ErrFenced):
		return err
	case errors.Is(err, registry.ErrConflict), errors.Is(err, registry.ErrNotFound):
		slog.Debug("policy: step outdated", "step", step.Op, "err", err)
	case err != nil:
		slog.Warn("policy: step failed", "step", step.Op, "change", step.ChangeNumber, "token", handle.Token(), "err", err)
	default:
		slog.Info("policy: step taken", "step", step.Op, "change", step.ChangeNumber, "from", step.Stage, "reason", step.Reason, "token", handle.Token())
	}
	return nil
}

// watchMachine removes sidecars of this machine from the roster when their processes have ended,
// until ctx ends. An unresponsive sidecar whose process is running stays in the roster. Every
// controller does this, without a lease.
func watchMachine(ctx context.Context, c *client.Client, machine string) {
	for {
		if status, err := c.PolicyStatus(ctx, 0, 0); err == nil {
			removeEndedSidecars(ctx, c, machine, status.Roster)
		}
		if pause(ctx, policyPollInterval) != nil {
			return
		}
	}
}

func removeEndedSidecars(ctx context.Context, c *client.Client, machine string, roster []rollout.RosterMember) {
	for _, sidecar := range roster {
		if !sidecar.ProcessEnded(machine) {
			continue
		}
		slog.Warn("policy: sidecar process ended", "sidecar", sidecar.Name, "pid", sidecar.Process.PID)
		if _, err := c.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpLeave, Member: sidecar.Member}, nil); err != nil {
			slog.Warn("policy: roster member not removed", "sidecar", sidecar.Name, "err", err)
		}
	}
}
