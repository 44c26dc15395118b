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

// PolicyLease is the lease of the task that leads changes of policy.
const PolicyLease = "policy"

// policyPollInterval is how often a change's time is looked at; what its sidecars say is heard
// of at once.
const policyPollInterval = 500 * time.Millisecond

// policyTask leads changes of policyTask. Each step is fenced, and the registry looks itself at
// whether everybody is there: a leader that is behind changes nothing.
type policyTask struct{ client *client.Client }

func (t *policyTask) run(ctx context.Context, term *lease.Handle) error {
	var after uint64
	for {
		st, err := t.client.PolicyStatus(ctx, after, policyPollInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			slog.Warn("policy: not read", "lease", term.LeaseName(), "token", term.Token(), "err", err)
			if err := pause(ctx, policyPollInterval); err != nil {
				return err
			}
			continue
		}
		after = st.Version
		step, any := rollout.Decide(st, time.Now().UnixMilli())
		if !any {
			continue
		}
		switch _, err := t.client.ApplyPolicyStep(ctx, step, term.Fence()); {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, registry.ErrFenced):
			return err
		case errors.Is(err, registry.ErrConflict), errors.Is(err, registry.ErrNotFound):
			slog.Debug("policy: what was read is out of date", "step", step.Op, "err", err)
		case err != nil:
			slog.Warn("policy: a step was not taken", "step", step.Op, "change", step.ChangeNumber, "token", term.Token(), "err", err)
		default:
			slog.Info("policy: a step", "step", step.Op, "change", step.ChangeNumber, "from", step.Stage, "reason", step.Reason, "token", term.Token())
		}
		after = 0 // look again at once
	}
}

// watchMachine gives up the seats of sidecars on this machine whose processes have
// gone: that is evidence, which silence is not. It is every keeper's own task.
func watchMachine(ctx context.Context, c *client.Client, machine string) error {
	for {
		st, err := c.PolicyStatus(ctx, 0, 0)
		if err == nil {
			for _, seat := range st.Roster {
				if !seat.ProcessGone(machine) {
					continue
				}
				slog.Warn("policy: a sidecar's process has gone", "sidecar", seat.Name, "pid", seat.Process.PID)
				if _, err := c.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpLeave, Member: seat.Member}, nil); err != nil {
					slog.Warn("policy: its seat is not given up", "sidecar", seat.Name, "err", err)
				}
			}
		}
		if pause(ctx, policyPollInterval) != nil {
			return nil
		}
	}
}
