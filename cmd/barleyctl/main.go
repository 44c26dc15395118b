// Barleyctl is the operator's command.
package main

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/registry/client"
)

const usage = `barleyctl takes machines out of service and brings them back.

    barleyctl [-config FILE] drain MACHINE [--dry-run] [--timeout D]
    barleyctl [-config FILE] undrain MACHINE [--timeout D]
    barleyctl [-config FILE] status [MACHINE]

drain claims the machine, checks that what remains bears the load, marks its servers
as draining, waits until the sidecars know it and the servers' work has ended, and
stops them. A drain that was cut off is resumed by drain, by whomever, and undone by
undrain. FILE is named by BARLEYCTL_CONFIG where -config is not given;
docs/DRAINING.md describes it.

Exit status: 0 done, 1 failed, 2 wrong call, 3 refused (nothing was changed),
4 out of time (the drain is undone, or left to be resumed: the message says which).
`

// Exit statuses.
const (
	done = iota
	failed
	wrongCall
	refused
	outOfTime
)

const (
	defaultTimeout = 5 * time.Minute
	pollEvery      = 200 * time.Millisecond
)

func main() {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := run(stop, os.Args[1:], os.Getenv, os.Stdout, os.Stderr)
	cancel()
	os.Exit(status)
}

var errUsage = errors.New("wrong call")

// run carries one call out and returns its exit status.
func run(ctx context.Context, args []string, getenv func(string) string, out, errs io.Writer) int {
	err := call(ctx, args, getenv, out, errs)
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return done
	case errors.Is(err, errUsage):
		fmt.Fprintln(errs, "barleyctl:", err)
		return wrongCall
	}
	fmt.Fprintln(errs, "barleyctl:", err)
	switch {
	case errors.Is(err, drain.ErrRefused):
		return refused
	case errors.Is(err, drain.ErrTimeout), errors.Is(err, context.Canceled) && !errors.Is(err, client.ErrUnreachable):
		return outOfTime
	}
	return failed
}

func call(ctx context.Context, args []string, getenv func(string) string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("barleyctl", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() { fmt.Fprint(errs, usage) }
	path := flags.String("config", getenv("BARLEYCTL_CONFIG"), "the configuration `FILE`")
	if err := parse(flags, args); err != nil {
		return err
	}
	if flags.NArg() == 0 {
		flags.Usage()
		return fmt.Errorf("%w: drain, undrain or status is needed", errUsage)
	}
	command, rest := flags.Arg(0), flags.Args()[1:]
	sub := flag.NewFlagSet(command, flag.ContinueOnError)
	sub.SetOutput(errs)
	sub.Usage = flags.Usage
	timeout := sub.Duration("timeout", defaultTimeout, "the longest it may take")
	dry := sub.Bool("dry-run", false, "say what it would do, and change nothing")
	var machine string
	if len(rest) > 0 && rest[0] != "" && rest[0][0] != '-' { // flags may come before or after the machine
		machine, rest = rest[0], rest[1:]
	}
	if err := parse(sub, rest); err != nil {
		return err
	}
	if machine == "" {
		machine = sub.Arg(0)
	} else if sub.NArg() > 0 {
		return fmt.Errorf("%w: one machine at a time", errUsage)
	}
	switch {
	case command != "drain" && command != "undrain" && command != "status":
		return fmt.Errorf("%w: no command %q; there are drain, undrain and status", errUsage, command)
	case machine == "" && command != "status":
		return fmt.Errorf("%w: %s needs a machine", errUsage, command)
	case *dry && command != "drain":
		return fmt.Errorf("%w: --dry-run is for drain", errUsage)
	case *timeout <= 0:
		return fmt.Errorf("%w: --timeout must be above 0", errUsage)
	case *path == "":
		return fmt.Errorf("%w: -config FILE is needed, or BARLEYCTL_CONFIG", errUsage)
	}
	c, err := drain.LoadConfig(*path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	name, err := os.Hostname()
	if err != nil {
		name = "operator"
	}
	w, end, err := c.Workflow(fmt.Sprintf("%s/%d/%s", name, os.Getpid(), rand.Text()[:6]), pollEvery, func(format string, args ...any) {
		fmt.Fprintf(out, format+"\n", args...)
	})
	if err != nil {
		return err
	}
	defer end()
	switch command {
	case "drain":
		if *dry {
			return plan(ctx, w, machine, out)
		}
		return w.Drain(ctx, machine)
	case "undrain":
		return w.Undrain(ctx, machine)
	}
	return status(ctx, w, machine, out)
}

func parse(flags *flag.FlagSet, args []string) error {
	err := flags.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return err
}

// plan says what a drain would do.
func plan(ctx context.Context, w *drain.Workflow, machine string, out io.Writer) error {
	p, err := w.Plan(ctx, machine)
	if err != nil {
		return err
	}
	if p.Resumes != "" {
		fmt.Fprintf(out, "%s: would resume at step %s, servers %v\n", machine, p.Resumes, p.Hosts)
		return nil
	}
	fmt.Fprintf(out, "%s: would drain servers %v\n", machine, p.Hosts)
	for _, z := range p.Zones {
		fmt.Fprintf(out, "zone %s: %d of %d ready servers would remain, the floor is %d\n", z.Zone, z.Left, z.Ready, z.Floor)
	}
	return nil
}

// status tells how drains stand.
func status(ctx context.Context, w *drain.Workflow, machine string, out io.Writer) error {
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
		switch left := time.UnixMilli(d.Expires).Sub(w.Now()).Round(time.Second); {
		case d.Step == drain.Done:
			claim = "out of service"
		case left <= 0:
			claim = "nobody's: resume it with drain, or undo it with undrain"
		default:
			claim += fmt.Sprintf(" for another %v", left)
		}
		fmt.Fprintf(out, "%s\t%s\t%s\tservers %v\tbegan %s\n", d.Machine, d.Step, claim, d.Hosts, time.UnixMilli(d.Began).UTC().Format(time.RFC3339))
	}
	if shown == 0 {
		fmt.Fprintln(out, "no machine is drained or being drained")
	}
	return nil
}
