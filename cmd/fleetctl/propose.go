package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
)

const defaultWithin = 2 * time.Minute // for a change to be confirmed by all

// proposal is what the commands that propose share.
type proposal struct {
	reason string
	within time.Duration
	wait   bool
	first  string
	watch  time.Duration
}

func (p *proposal) flags(c *cobra.Command) {
	c.Flags().StringVar(&p.reason, "reason", "", "why, for the history")
	c.Flags().DurationVar(&p.within, "within", defaultWithin, "it takes hold nowhere if not everybody has confirmed it by then")
	c.Flags().StringVar(&p.first, "first", "", "a part of the sidecars, such as 5%, that goes ahead and is compared with the rest")
	c.Flags().DurationVar(&p.watch, "watch", 30*time.Second, "with --first: for how long")
	c.Flags().BoolVar(&p.wait, "wait", false, "follow it until it is settled or has failed")
}

// propose proposes a document, and follows it if that is wanted.
func (a *app) propose(ctx context.Context, r *client.Client, st rollout.Status, d *rollout.Document, p proposal) error {
	if p.within <= 0 {
		return cli.WrongCall("--within must be above 0")
	}
	first, watch := 0.0, time.Duration(0)
	if p.first != "" {
		percent, err := strconv.ParseFloat(strings.TrimSuffix(p.first, "%"), 64)
		if err != nil || !strings.HasSuffix(p.first, "%") || percent <= 0 || percent >= 100 {
			return cli.WrongCall("--first is %q, it must be like 5%%, between 0%% and 100%%", p.first)
		}
		if p.watch <= 0 || p.watch >= p.within {
			return cli.WrongCall("--watch is %v, it must be above 0 and under the %v of --within", p.watch, p.within)
		}
		first, watch = percent/100, p.watch
	}
	by := os.Getenv("USER")
	if by == "" {
		by = "operator"
	}
	a.diff(st, d)
	if _, err := r.ApplyPolicyStep(ctx, rollout.Command{Op: rollout.OpPropose, Document: d, BaseEpoch: st.Epoch, By: by, Reason: p.reason, WithinMS: p.within.Milliseconds(), CanaryFraction: first, CanaryWatchMS: watch.Milliseconds()}, nil); err != nil {
		return err
	}
	now, err := r.PolicyStatus(ctx, 0, 0)
	if err != nil {
		return err
	}
	if now.Change == nil { // it is over already, for good or bad
		return a.outcome(now, d.Checksum(), st.Epoch)
	}
	number := now.Change.Number
	fmt.Fprintf(a.out, "change %d proposed\n", number)
	if !p.wait {
		return nil
	}
	said := ""
	for {
		if now.Change == nil || now.Change.Number != number {
			return a.outcome(now, d.Checksum(), st.Epoch)
		}
		if line := progress(now); line != said {
			fmt.Fprintln(a.out, line)
			said = line
		}
		if now, err = r.PolicyStatus(ctx, now.Version, watchFor); err != nil {
			if ctx.Err() != nil {
				return cli.Status(outOfTime, "change %d goes on; status tells how it stands", number)
			}
			return err
		}
	}
}

func progress(st rollout.Status) string {
	const few = 6
	line := fmt.Sprintf("change %d: %s, %d of %d have confirmed", st.Change.Number, st.Stage, len(st.Roster)-len(st.WaitingFor), len(st.Roster))
	if st.Stage == rollout.StageCanary {
		line += fmt.Sprintf("; %d go ahead", len(st.Change.Canaries))
	}
	if n := len(st.WaitingFor); n > 0 {
		line += "; waits for " + strings.Join(st.WaitingFor[:min(n, few)], " ")
		if n > few {
			line += fmt.Sprintf(" and %d others", n-few)
		}
	}
	return line
}

// outcome tells what became of the change of a document that was proposed last.
func (a *app) outcome(st rollout.Status, sum string, before uint64) error {
	for i := len(st.History) - 1; i >= 0; i-- {
		if h := st.History[i]; h.Checksum == sum && h.Number > before {
			if h.Outcome == "committed" {
				fmt.Fprintf(a.out, "epoch %d is in force everywhere\n", h.Number)
				return nil
			}
			return cli.Status(refused, "change %d took hold nowhere: %s", h.Number, h.Outcome)
		}
	}
	return errors.New("the change is over, and the history does not tell how")
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
		Long:    "revert proposes the policy that was in force before this one, or that of EPOCH. It is a change as any.",
		Example: "  fleetctl policy revert --wait",
		RunE: func(c *cobra.Command, args []string) error {
			return a.withStatus(c.Context(), func(r *client.Client, st rollout.Status) error {
				for i := len(st.History) - 1; i >= 0; i-- {
					h := st.History[i]
					if h.Outcome != "committed" || len(args) == 0 && h.Number >= st.Epoch || len(args) > 0 && fmt.Sprint(h.Number) != args[0] {
						continue
					}
					if p.reason == "" {
						p.reason = fmt.Sprintf("revert to epoch %d", h.Number)
					}
					return a.propose(c.Context(), r, st, &h.Document, p)
				}
				return cli.Status(refused, "the history has no such policy that was in force")
			})
		},
	}
	p.flags(c)
	return c
}
