package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/configfile"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
)

func (a *app) policy() *cobra.Command {
	c := &cobra.Command{
		Use: "policy", Short: "Show the fleet policy, or change it on all sidecars or none", Args: cli.NoArgs,
		Long: `policy shows and changes the fleet policy. During a change every sidecar confirms that it
supports the new policy and then applies the stricter of old and new; once all of them do,
the new policy is in force. docs/POLICY.md describes the document and the possible failures.`,
		RunE: func(*cobra.Command, []string) error {
			return cli.UsageError("get, diff, propose, status, abort, history, revert or evict is needed; see fleetctl policy --help")
		},
	}
	c.AddCommand(a.policyGet(), a.policyDiff(), a.policyPropose(), a.policyStatus(), a.policyAbort(), a.policyHistory(), a.policyRevert(), a.policyEvict())
	return c
}

// withStatus calls work with a registry client and the status of the fleet policy.
func (a *app) withStatus(ctx context.Context, work func(r *client.Client, st rollout.Status) error) error {
	r, err := a.client()
	if err != nil {
		return err
	}
	defer r.Close()
	st, err := r.PolicyStatus(ctx, 0, 0)
	if err != nil {
		return err
	}
	return withRefusedStatus(work(r, st))
}

// withRefusedStatus sets the exit status of an error by which the registry refused a request.
func withRefusedStatus(err error) error {
	for _, refusal := range []error{registry.ErrConflict, registry.ErrNotFound, registry.ErrInvalid, registry.ErrLimitReached} {
		if errors.Is(err, refusal) {
			return cli.ExitError(statusRefused, "%w", err)
		}
	}
	return err
}

// readDocument reads and checks a policy file.
func readDocument(path string) (*rollout.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read policy: %w", err)
	}
	d := &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry}
	if err := configfile.DecodeTOML(text, d); err != nil {
		return nil, cli.ExitError(statusRefused, "policy %s: %w", path, err)
	}
	if err := d.Check(); err != nil {
		return nil, cli.ExitError(statusRefused, "policy %s: %w", path, configfile.WithLine(text, err))
	}
	return d, nil
}

func (a *app) policyGet() *cobra.Command {
	return &cobra.Command{
		Use: "get", Short: "Print the policy in force, as a file to edit and propose", Args: cli.NoArgs, Example: "  fleetctl policy get > policy.toml",
		RunE: func(c *cobra.Command, _ []string) error {
			return a.withStatus(c.Context(), func(_ *client.Client, st rollout.Status) error {
				if st.Document == nil {
					return cli.ExitError(statusRefused, "no fleet policy is in force: each sidecar applies its own configuration")
				}
				fmt.Fprintf(a.out, "# epoch %d, checksum %s\n", st.Epoch, st.Checksum)
				return toml.NewEncoder(a.out).Encode(st.Document)
			})
		},
	}
}

// printDiff prints what a document would change.
func (a *app) printDiff(st rollout.Status, d *rollout.Document) {
	from := st.Document
	if from == nil {
		fmt.Fprintln(a.out, "the first fleet policy: until now each sidecar applies its own configuration, from then on the stricter of both")
		from = &rollout.Document{Mode: d.Mode}
	}
	lines := rollout.Diff(from, d)
	if len(lines) == 0 {
		fmt.Fprintln(a.out, "no change")
	}
	for _, l := range lines {
		fmt.Fprintln(a.out, l)
	}
}

func (a *app) policyDiff() *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Show what a file would change", Args: cobra.ExactArgs(1), Example: "  fleetctl policy diff policy.toml",
		RunE: func(c *cobra.Command, args []string) error {
			d, err := readDocument(args[0])
			if err != nil {
				return err
			}
			return a.withStatus(c.Context(), func(_ *client.Client, st rollout.Status) error {
				a.printDiff(st, d)
				return nil
			})
		},
	}
}

func (a *app) policyStatus() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "status", Short: "Show the policy and the change in progress", Args: cli.NoArgs, Example: "  fleetctl policy status --json",
		RunE: func(c *cobra.Command, _ []string) error {
			return a.withStatus(c.Context(), func(_ *client.Client, st rollout.Status) error {
				if asJSON {
					return json.NewEncoder(a.out).Encode(st)
				}
				fmt.Fprintf(a.out, "epoch %d, %s, %d sidecars in the roster\n", st.Epoch, st.Stage, len(st.Roster))
				if st.Change != nil {
					fmt.Fprintf(a.out, "%s\nproposed by %s: %s; until %s\n", progress(st), st.Change.By, st.Change.Reason, time.UnixMilli(st.Change.DeadlineMS).UTC().Format(time.RFC3339))
				}
				return nil
			})
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object, as the registry returns it")
	return c
}

func (a *app) policyAbort() *cobra.Command {
	return &cobra.Command{
		Use: "abort", Short: "Roll back the change in progress", Args: cli.NoArgs, Example: "  fleetctl policy abort",
		RunE: func(c *cobra.Command, _ []string) error {
			return a.withStatus(c.Context(), func(r *client.Client, st rollout.Status) error {
				if st.Change == nil {
					return cli.ExitError(statusRefused, "no change is in progress")
				}
				_, err := r.ApplyPolicyStep(c.Context(), rollout.Command{Op: rollout.OpAbort, ChangeNumber: st.Change.Number, By: "an operator"}, nil)
				if err == nil {
					fmt.Fprintf(a.out, "change %d is aborted, epoch %d stays in force\n", st.Change.Number, st.Epoch)
				}
				return err
			})
		},
	}
}

func (a *app) policyHistory() *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "List the changes proposed so far, with proposer and outcome", Args: cli.NoArgs, Example: "  fleetctl policy history",
		RunE: func(c *cobra.Command, _ []string) error {
			return a.withStatus(c.Context(), func(_ *client.Client, st rollout.Status) error {
				w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "CHANGE\tENDED\tBY\tCHECKSUM\tOUTCOME\tREASON")
				for _, h := range st.History {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", h.Number, time.UnixMilli(h.EndedMS).UTC().Format(time.RFC3339), h.By, h.Checksum, h.Outcome, h.Reason)
				}
				return w.Flush()
			})
		},
	}
}

func (a *app) policyEvict() *cobra.Command {
	return &cobra.Command{
		Use: "evict SIDECAR", Short: "Remove a sidecar whose process has ended from the roster", Args: cobra.ExactArgs(1),
		Long: `evict removes a sidecar from the roster: changes no longer wait for it. Use it only when
its process has ended. If the process still runs, the registry refuses it from now on, and it
refuses new requests once it is notified; until then it may apply an old policy.`,
		Example: "  fleetctl policy evict n17",
		RunE: func(c *cobra.Command, args []string) error {
			return a.withStatus(c.Context(), func(r *client.Client, status rollout.Status) error {
				// The client may repeat the call: it must not evict a process that has started meanwhile.
				evicted, err := findMember(status, args[0])
				if err != nil {
					return err
				}
				_, err = r.ApplyPolicyStep(c.Context(), rollout.Command{Op: rollout.OpEvict, Member: evicted}, nil)
				if err == nil {
					fmt.Fprintf(a.out, "%s is no longer in the roster\n", args[0])
				}
				return err
			})
		},
	}
}

// findMember returns the member of the roster with a name.
func findMember(status rollout.Status, name string) (rollout.Member, error) {
	for _, m := range status.Roster {
		if m.Name == name {
			return m.Member, nil
		}
	}
	return rollout.Member{}, &client.Error{Status: http.StatusNotFound, Message: name + " is not in the roster"}
}
