package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
)

const defaultWithin = 2 * time.Minute // for all sidecars to confirm a change

// proposal holds the flags that the proposing commands share.
type proposal struct {
	reason        string
	within        time.Duration
	wait          bool
	canaryPercent string
	canaryWatch   time.Duration
}

func (p *proposal) flags(c *cobra.Command) {
	c.Flags().StringVar(&p.reason, "reason", "", "the reason, for the history")
	c.Flags().DurationVar(&p.within, "within", defaultWithin, "roll the change back unless every sidecar has confirmed it within this time")
	c.Flags().StringVar(&p.canaryPercent, "first", "", "the share of the sidecars, such as 5%, that applies the change first and is compared with the others")
	c.Flags().DurationVar(&p.canaryWatch, "watch", 30*time.Second, "with --first: how long they are compared")
	c.Flags().BoolVar(&p.wait, "wait", false, "follow the change until it is in force or has failed")
}

// propose proposes a document and, with --wait, follows the change.
func (a *app) propose(ctx context.Context, r *client.Client, st rollout.Status, d *rollout.Document, p proposal) error {
	if p.within <= 0 {
		return cli.UsageError("--within must be above 0")
	}
	canaryFraction, canaryWatch, err := p.canary()
	if err != nil {
		return err
	}
	a.printDiff(st, d)
	command := rollout.Command{
		Op: rollout.OpPropose, Document: d, BaseEpoch: st.Epoch,
		By: cmp.Or(os.Getenv("USER"), "operator"), Reason: p.reason, WithinMS: p.within.Milliseconds(),
		CanaryFraction: canaryFraction, CanaryWatchMS: canaryWatch.Milliseconds(),
	}
	if _, err := r.ApplyPolicyStep(ctx, command, nil); err != nil {
		return err
	}
	now, err := r.PolicyStatus(ctx, 0, 0)
	if err != nil {
		return err
	}
	if now.Change == nil { // the change has already been committed or rolled back
		return a.reportOutcome(now, d.Checksum(), st.Epoch)
	}
	number := now.Change.Number
	fmt.Fprintf(a.out, "change %d proposed\n", number)
	if !p.wait {
		return nil
	}
	if now, err = a.follow(ctx, r, now, number); err != nil {
		return err
	}
	return a.reportOutcome(now, d.Checksum(), st.Epoch)
}

// canary returns the fraction of the sidecars that are canaries and how long they are compared with the
// others; 0: there are none.
func (p *proposal) canary() (fraction float64, watch time.Duration, err error) {
	if p.canaryPercent == "" {
		return 0, 0, nil
	}
	percent, err := strconv.ParseFloat(strings.TrimSuffix(p.canaryPercent, "%"), 64)
	if err != nil || !strings.HasSuffix(p.canaryPercent, "%") || percent <= 0 || percent >= 100 {
		return 0, 0, cli.UsageError("--first is %q, it must be a percentage between 0%% and 100%%, such as 5%%", p.canaryPercent)
	}
	if p.canaryWatch <= 0 || p.canaryWatch >= p.within {
		return 0, 0, cli.UsageError("--watch is %v, it must be above 0 and below the %v of --within", p.canaryWatch, p.within)
	}
	return percent / 100, p.canaryWatch, nil
}

// follow prints each step of a change until the change has ended, and returns the status then.
func (a *app) follow(ctx context.Context, r *client.Client, now rollout.Status, number uint64) (rollout.Status, error) {
	printed := ""
	for now.Change != nil && now.Change.Number == number {
		if line := progress(now); line != printed {
			fmt.Fprintln(a.out, line)
			printed = line
		}
		next, err := r.PolicyStatus(ctx, now.Version, maxWatchWait)
		if ctx.Err() != nil && err != nil {
			return now, cli.ExitError(statusTimedOut, "change %d is still in progress; policy status shows its state", number)
		}
		if err != nil {
			return now, err
		}
		now = next
	}
	return now, nil
}

// progress returns a line with the stage of a change and the sidecars that have not confirmed it.
func progress(st rollout.Status) string {
	const maxListed = 6
	line := fmt.Sprintf("change %d: %s, %d of %d have confirmed", st.Change.Number, st.Stage, len(st.Roster)-len(st.WaitingFor), len(st.Roster))
	if st.Stage == rollout.StageCanary {
		line += fmt.Sprintf("; %d go ahead", len(st.Change.Canaries))
	}
	if n := len(st.WaitingFor); n > 0 {
		line += "; waits for " + strings.Join(st.WaitingFor[:min(n, maxListed)], " ")
		if n > maxListed {
			line += fmt.Sprintf(" and %d others", n-maxListed)
		}
	}
	return line
}

// reportOutcome prints the result of the last change after the epoch before that proposed a document with
// this checksum, or returns an error if that change was not committed.
func (a *app) reportOutcome(st rollout.Status, checksum string, before uint64) error {
	for i := len(st.History) - 1; i >= 0; i-- {
		if h := st.History[i]; h.Checksum == checksum && h.Number > before {
			if h.Outcome == rollout.OutcomeCommitted {
				fmt.Fprintf(a.out, "epoch %d is in force everywhere\n", h.Number)
				return nil
			}
			return cli.ExitError(statusRefused, "change %d is not in force on any sidecar: %s", h.Number, h.Outcome)
		}
	}
	return errors.New("the change has ended, but the history does not contain its outcome")
}

func (a *app) policyPropose() *cobra.Command {
	var p proposal
	c := &cobra.Command{
		Use: "propose FILE", Short: "Propose a policy for the whole fleet", Args: cobra.ExactArgs(1),
		Example: "  fleetctl policy propose policy.toml --reason 'acme pays for more' --wait",
		RunE: func(c *cobra.Command, args []string) error {
			d, err := readDocument(args[0])
			if err != nil {
				return err
			}
			return a.withStatus(c.Context(), func(r *client.Client, st rollout.Status) error { return a.propose(c.Context(), r, st, d, p) })
		},
	}
	p.flags(c)
	return c
}

func (a *app) policyRevert() *cobra.Command {
	var p proposal
	c := &cobra.Command{
		Use: "revert [EPOCH]", Short: "Propose an earlier policy again", Args: cobra.MaximumNArgs(1),
		Long:    "revert proposes the policy that was in force before this one, or that of EPOCH. It starts an ordinary change.",
		Example: "  fleetctl policy revert --wait",
		RunE: func(c *cobra.Command, args []string) error {
			return a.withStatus(c.Context(), func(r *client.Client, st rollout.Status) error {
				earlier, ok := findCommitted(st, args)
				if !ok {
					return cli.ExitError(statusRefused, "the history contains no such policy that was in force")
				}
				if p.reason == "" {
					p.reason = fmt.Sprintf("revert to epoch %d", earlier.Number)
				}
				return a.propose(c.Context(), r, st, &earlier.Document, p)
			})
		},
	}
	p.flags(c)
	return c
}

// findCommitted returns the policy that was in force before this one, or that of the epoch in args.
func findCommitted(st rollout.Status, args []string) (rollout.HistoryEntry, bool) {
	for _, h := range slices.Backward(st.History) {
		wanted := h.Number < st.Epoch
		if len(args) > 0 {
			wanted = fmt.Sprint(h.Number) == args[0]
		}
		if wanted && h.Outcome == rollout.OutcomeCommitted {
			return h, true
		}
	}
	return rollout.HistoryEntry{}, false
}
