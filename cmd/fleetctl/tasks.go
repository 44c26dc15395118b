package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/registry"
)

// maxWatchWait bounds how long one call waits for a change.
const maxWatchWait = 4 * time.Second

// holder returns the name of the process that holds a lease, or an empty string if none does.
func (a *app) holder(ctx context.Context, name string) (string, error) {
	r, err := a.client()
	if err != nil {
		return "", err
	}
	defer r.Close()
	all, err := r.Leases(ctx, 0, 0)
	if err != nil {
		return "", err
	}
	for _, l := range all.Leases {
		if l.Name == name && l.Grant != nil {
			return l.Grant.Name, nil
		}
	}
	return "", nil
}

func (a *app) tasks() *cobra.Command {
	var asJSON, watch bool
	c := &cobra.Command{
		Use: "tasks", Short: "List the tasks and their holders", Args: cli.NoArgs,
		Long: `tasks lists the leases with their holders, fencing tokens and waiting controllers. Leases
whose names begin with keeper: show which controllers run.`,
		Example: "  fleetctl tasks\n  fleetctl tasks --watch --json",
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := a.client()
			if err != nil {
				return err
			}
			defer r.Close()
			for after := uint64(0); ; {
				wait := time.Duration(0)
				if watch && after > 0 {
					wait = maxWatchWait
				}
				all, err := r.Leases(c.Context(), after, wait)
				switch {
				case c.Context().Err() != nil && watch:
					return nil // a watch runs until it is interrupted
				case err != nil:
					return err
				}
				if all.Version != after || after == 0 {
					if err := a.showTasks(all, asJSON); err != nil {
						return err
					}
				}
				if !watch {
					return nil
				}
				after = all.Version
			}
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per line, as the registry returns it")
	c.Flags().BoolVar(&watch, "watch", false, "print the tasks again at each change until interrupted")
	return c
}

// showTasks prints the leases as a table or as JSON.
func (a *app) showTasks(all registry.LeasesResponse, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(a.out).Encode(all)
	}
	if all.GrantsClosed {
		fmt.Fprintln(a.out, "no lease is granted yet: the registry group was founded a moment ago")
	}
	if len(all.Leases) == 0 {
		fmt.Fprintln(a.out, "no task is held or waited for")
		return nil
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tHOLDER\tTOKEN\tWAITING\tREQUESTS")
	for _, l := range all.Leases {
		holder, token := "-", "-"
		if l.Grant != nil {
			holder, token = l.Grant.Name, fmt.Sprint(l.Grant.Token)
		}
		var waiting, requests []string
		for _, c := range l.Queue {
			waiting = append(waiting, c.Name)
		}
		if l.Paused {
			requests = append(requests, "paused")
		}
		if l.YieldRequested {
			requests = append(requests, strings.TrimSpace("yield "+l.NextHolder))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.Name, holder, token, orDash(waiting), orDash(requests))
	}
	return w.Flush()
}

// orDash joins words with spaces, or returns a dash if there are none.
func orDash(words []string) string {
	if len(words) == 0 {
		return "-"
	}
	return strings.Join(words, " ")
}

func (a *app) task() *cobra.Command {
	c := &cobra.Command{
		Use: "task", Short: "Release, hand over, pause or resume a task", Args: cli.NoArgs,
		Long: `task asks the holder of a task to release it. The holder is notified at its next renewal,
stops the task and releases the lease. A holder that does not answer loses the task when
its lease ends.`,
		RunE: func(*cobra.Command, []string) error {
			return cli.UsageError("release, hand-over, pause or resume is needed; see fleetctl task --help")
		},
	}
	yes, no := true, false
	add := func(use, short string, n int, request func(args []string) registry.YieldRequest) {
		c.AddCommand(&cobra.Command{
			Use: use, Short: short, Args: cobra.ExactArgs(n), Example: "  fleetctl task " + strings.NewReplacer("TASK", "drains", "CONTROLLER", "k2").Replace(use),
			RunE: func(c *cobra.Command, args []string) error {
				return a.requestYield(c.Context(), args[0], request(args))
			},
		})
	}
	add("release TASK", "Ask its holder to release it to the next waiting controller", 1, func([]string) registry.YieldRequest {
		return registry.YieldRequest{Yield: true}
	})
	add("hand-over TASK CONTROLLER", "Ask its holder to hand it over to a controller that waits for it", 2, func(args []string) registry.YieldRequest {
		return registry.YieldRequest{Yield: true, NextHolder: args[1]}
	})
	add("pause TASK", "Ask its holder to release it, and grant it to no controller until it is resumed", 1, func([]string) registry.YieldRequest { return registry.YieldRequest{Pause: &yes} })
	add("resume TASK", "Allow it to be held again", 1, func([]string) registry.YieldRequest { return registry.YieldRequest{Pause: &no} })
	return c
}

// requestYield sends an operator's request about a lease to the registry.
func (a *app) requestYield(ctx context.Context, name string, request registry.YieldRequest) error {
	r, err := a.client()
	if err != nil {
		return err
	}
	defer r.Close()
	err = r.RequestYield(ctx, name, request)
	if errors.Is(err, registry.ErrNotFound) || errors.Is(err, registry.ErrConflict) {
		return cli.ExitError(statusRefused, "%w", err)
	}
	return err
}
