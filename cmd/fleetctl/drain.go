package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/controller"
	"barleywick/internal/drain"
)

// timeoutFlag adds the flag --timeout to a command.
func timeoutFlag(c *cobra.Command, timeout *time.Duration) {
	c.Flags().DurationVar(timeout, "timeout", defaultTimeout, "how long the command may take")
}

// runWithTimeout runs a command's work with a drain workflow, under the command's timeout.
func (a *app) runWithTimeout(ctx context.Context, timeout time.Duration, work func(ctx context.Context, w *drain.Workflow) error) error {
	if timeout <= 0 {
		return cli.UsageError("--timeout must be above 0")
	}
	w, end, err := a.workflow()
	if err != nil {
		return err
	}
	defer end()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return withExitStatus(work(ctx, w))
}

func (a *app) drain() *cobra.Command {
	var timeout time.Duration
	var dryRun, here, detach bool
	c := &cobra.Command{
		Use: "drain MACHINE", Short: "Take a machine out of service", Args: exactlyOneMachine,
		Long: `drain claims the machine, checks that the remaining servers can bear the load, marks the
machine's servers as draining, waits until all sidecars are notified and the servers' work
has ended, and stops them. If a controller holds the task that runs drains, the drain is
handed over to the controllers and followed: it continues after this command has ended.
With --here this command runs it. Any operator can resume an interrupted drain with drain,
or undo it with undrain.`,
		Example: "  fleetctl drain m-1 --timeout 10m\n  fleetctl drain m-1 --here\n  fleetctl drain m-1 --dry-run",
		RunE: func(c *cobra.Command, args []string) error {
			return a.runWithTimeout(c.Context(), timeout, func(ctx context.Context, w *drain.Workflow) error {
				switch {
				case dryRun:
					return a.printPlan(ctx, w, args[0])
				case here:
					return w.Drain(ctx, args[0])
				}
				return a.handOver(ctx, c.Context(), w, args[0], timeout, detach)
			})
		},
	}
	timeoutFlag(c, &timeout)
	c.Flags().BoolVar(&dryRun, "dry-run", false, "print what the drain would do and change nothing")
	c.Flags().BoolVar(&here, "here", false, "run the drain in this command, even if a controller could run it")
	c.Flags().BoolVar(&detach, "detach", false, "hand the drain over and exit without following it")
	return c
}

// handOver hands a drain over to the controllers and follows it. If no controller holds the task, it runs
// the drain here. It uses commandCtx to follow the drain, which takes a little longer than the deadline of ctx.
func (a *app) handOver(ctx, commandCtx context.Context, w *drain.Workflow, machine string, timeout time.Duration, detach bool) error {
	holderName, err := a.holder(ctx, controller.DrainsLease)
	if err != nil {
		return err
	}
	if holderName == "" {
		if detach {
			return fmt.Errorf("no controller holds the task %s: start a controller or omit --detach", controller.DrainsLease)
		}
		return w.Drain(ctx, machine)
	}
	if err := w.HandOver(ctx, machine, w.Now().Add(timeout)); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s: handed over to the controllers, %s runs it\n", machine, holderName)
	if detach {
		return nil
	}
	// The controllers undo the drain after the timeout; follow it a little longer to see the result.
	followCtx, cancel := context.WithTimeout(commandCtx, timeout+callTimeout)
	defer cancel()
	if err := w.Follow(followCtx, machine); followCtx.Err() != nil {
		return cli.ExitError(statusTimedOut, "%s: stopped following the drain; the controllers continue it, status shows its progress", machine)
	} else if err != nil {
		return err
	}
	return nil
}

func (a *app) undrain() *cobra.Command {
	var timeout time.Duration
	c := &cobra.Command{
		Use: "undrain MACHINE", Short: "Undo a machine's drain", Args: exactlyOneMachine,
		Long:    "undrain undoes a drain at any step and allows the machine's servers to be used again.",
		Example: "  fleetctl undrain m-1",
		RunE: func(c *cobra.Command, args []string) error {
			return a.runWithTimeout(c.Context(), timeout, func(ctx context.Context, w *drain.Workflow) error { return w.Undrain(ctx, args[0]) })
		},
	}
	timeoutFlag(c, &timeout)
	return c
}

func (a *app) status() *cobra.Command {
	return &cobra.Command{
		Use: "status [MACHINE]", Short: "Show the state of drains", Args: cobra.MaximumNArgs(1),
		Example: "  fleetctl status",
		RunE: func(c *cobra.Command, args []string) error {
			only := ""
			if len(args) > 0 {
				only = args[0]
			}
			return a.runWithTimeout(c.Context(), callTimeout, func(ctx context.Context, w *drain.Workflow) error { return a.printDrains(ctx, w, only) })
		},
	}
}

// printPlan prints what a drain would do.
func (a *app) printPlan(ctx context.Context, w *drain.Workflow, machine string) error {
	p, err := w.Plan(ctx, machine)
	if err != nil {
		return err
	}
	if p.ResumesAt != "" {
		fmt.Fprintf(a.out, "%s: would resume at step %s, servers %v\n", machine, p.ResumesAt, p.Hosts)
		return nil
	}
	fmt.Fprintf(a.out, "%s: would drain servers %v\n", machine, p.Hosts)
	for _, z := range p.Zones {
		fmt.Fprintf(a.out, "zone %s: %d of %d ready servers would remain, the floor is %d\n", z.Zone, z.Remaining, z.Ready, z.Floor)
	}
	return nil
}

// printDrains prints the state of each drain, or of one machine's drain if machine is not empty.
func (a *app) printDrains(ctx context.Context, w *drain.Workflow, machine string) error {
	all, err := w.Status(ctx)
	if err != nil {
		return err
	}
	shown := 0
	for _, d := range all {
		if machine != "" && d.Machine != machine {
			continue
		}
		shown++
		claim := "claimed by " + d.Owner
		switch left := time.UnixMilli(d.ExpiresMS).Sub(w.Now()).Round(time.Second); {
		case d.Step == drain.Done:
			claim = "out of service"
		case d.Owner == drain.OwnerControllers:
			claim = "run by the controllers"
		case left <= 0:
			claim = "nobody's: resume it with drain, or undo it with undrain"
		default:
			claim += fmt.Sprintf(" for another %v", left)
		}
		if d.Note != "" && d.Step != drain.Done {
			claim += ": " + d.Note
		}
		fmt.Fprintf(a.out, "%s\t%s\t%s\tservers %v\tbegan %s\n", d.Machine, d.Step, claim, d.Hosts, time.UnixMilli(d.BeganMS).UTC().Format(time.RFC3339))
	}
	if shown == 0 {
		fmt.Fprintln(a.out, "no machine is drained or being drained")
	}
	return nil
}
