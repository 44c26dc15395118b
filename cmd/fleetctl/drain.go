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
	c.Flags().DurationVar(timeout, "timeout", defaultTimeout, "the longest it may take")
}

// timed runs a command's work with its timeout.
func (a *app) timed(ctx context.Context, timeout time.Duration, work func(ctx context.Context, w *drain.Workflow) error) error {
	if timeout <= 0 {
		return cli.WrongCall("--timeout must be above 0")
	}
	w, end, err := a.workflow()
	if err != nil {
		return err
	}
	defer end()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return exits(work(ctx, w))
}

func (a *app) drain() *cobra.Command {
	var timeout time.Duration
	var dry, here, detach bool
	c := &cobra.Command{
		Use: "drain MACHINE", Short: "Take a machine out of service", Args: machine,
		Long: `drain claims the machine, checks that what remains bears the load, marks its servers
as draining, waits until the sidecars know it and the servers' work has ended, and
stops them. Where a controller holds the task of running drains, the drain is handed
over to the controllers and followed: it goes on when this command ends. With --here
this command runs it. An interrupted drain is resumed by drain, by any operator, and
undone by undrain.`,
		Example: "  fleetctl drain m-1 --timeout 10m\n  fleetctl drain m-1 --here\n  fleetctl drain m-1 --dry-run",
		RunE: func(c *cobra.Command, args []string) error {
			return a.timed(c.Context(), timeout, func(ctx context.Context, w *drain.Workflow) error {
				switch {
				case dry:
					return a.plan(ctx, w, args[0])
				case here:
					return w.Drain(ctx, args[0])
				}
				return a.handOver(ctx, c.Context(), w, args[0], timeout, detach)
			})
		},
	}
	timeoutFlag(c, &timeout)
	c.Flags().BoolVar(&dry, "dry-run", false, "say what it would do, and change nothing")
	c.Flags().BoolVar(&here, "here", false, "run it in this command, whether there are controllers or not")
	c.Flags().BoolVar(&detach, "detach", false, "hand it over and do not follow it")
	return c
}

// handOver hands a drain over to the controllers and follows it, or runs it here where no controller holds
// the task. Following may go on for a moment after ctx, so it is bounded by the command's own context.
func (a *app) handOver(ctx, followed context.Context, w *drain.Workflow, machine string, timeout time.Duration, detach bool) error {
	held, err := a.holder(ctx, controller.DrainsLease)
	if err != nil {
		return err
	}
	if held == "" {
		if detach {
			return fmt.Errorf("no controller holds the task %s: start one, or leave --detach out", controller.DrainsLease)
		}
		return w.Drain(ctx, machine)
	}
	if err := w.HandOver(ctx, machine, w.Now().Add(timeout)); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s: handed over to the controllers, %s runs it\n", machine, held)
	if detach {
		return nil
	}
	// The controllers undo it when its time is up, which is seen a moment later.
	follow, cancel := context.WithTimeout(followed, timeout+callTimeout)
	defer cancel()
	if err := w.Follow(follow, machine); follow.Err() != nil {
		return cli.ExitError(outOfTime, "%s: the controllers go on with it; status shows its progress", machine)
	} else if err != nil {
		return err
	}
	return nil
}

func (a *app) undrain() *cobra.Command {
	var timeout time.Duration
	c := &cobra.Command{
		Use: "undrain MACHINE", Short: "Take a machine's drain back", Args: machine,
		Long:    "undrain takes a drain back at whatever step it is, and lets the machine's servers be used again.",
		Example: "  fleetctl undrain m-1",
		RunE: func(c *cobra.Command, args []string) error {
			return a.timed(c.Context(), timeout, func(ctx context.Context, w *drain.Workflow) error { return w.Undrain(ctx, args[0]) })
		},
	}
	timeoutFlag(c, &timeout)
	return c
}

func (a *app) status() *cobra.Command {
	return &cobra.Command{
		Use: "status [MACHINE]", Short: "Tell how drains stand", Args: cobra.MaximumNArgs(1),
		Example: "  fleetctl status",
		RunE: func(c *cobra.Command, args []string) error {
			only := ""
			if len(args) > 0 {
				only = args[0]
			}
			return a.timed(c.Context(), callTimeout, func(ctx context.Context, w *drain.Workflow) error { return a.drains(ctx, w, only) })
		},
	}
}

// plan prints what a drain would do.
func (a *app) plan(ctx context.Context, w *drain.Workflow, machine string) error {
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

// drains prints the state of each drain, or of one machine's.
func (a *app) drains(ctx context.Context, w *drain.Workflow, machine string) error {
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
