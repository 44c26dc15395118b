// Fleetctl is the operator's command.
package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/drain"
	"barleywick/internal/registry/client"
	"barleywick/internal/shutdown"
)

// Exit statuses.
const (
	done      = cli.StatusDone
	failed    = cli.StatusFailed
	wrongCall = cli.StatusWrongCall
	refused   = 3
	outOfTime = 4
)

const (
	defaultTimeout = 5 * time.Minute
	pollEvery      = 200 * time.Millisecond
	// callTimeout bounds a call that reads or writes a single thing.
	callTimeout = 15 * time.Second
	// endBound is how long an interrupted command may take to end: it undoes its drain, which
	// lasts as long as the drain's claim at most.
	endBound = time.Minute
)

func main() {
	cli.WarnFormerProgram(os.Stderr, os.Args[0], "barleyctl", "fleetctl")
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ended := shutdown.Guard(stop, "fleetctl", endBound)
	status := run(stop, os.Args[1:], os.Getenv, os.Stdout, os.Stderr)
	ended()
	cancel()
	os.Exit(status)
}

// run executes one command line and returns its exit status.
func run(ctx context.Context, args []string, getenv func(string) string, out, errs io.Writer) int {
	args = slices.Clone(args)
	for i, a := range args {
		if a == "-config" { // deprecated: one dash
			args[i] = "--config"
		}
	}
	return cli.Run(ctx, "fleetctl", newRoot(&app{path: cli.LookupEnv(getenv, errs, "FLEETCTL_CONFIG", "BARLEYCTL_CONFIG"), out: out}), args, out, errs)
}

// app holds what all commands share: the path of the configuration and the output.
type app struct {
	path string
	out  io.Writer
}

func newRoot(a *app) *cobra.Command {
	root := &cobra.Command{
		Use:   "fleetctl",
		Short: "The operator's command",
		Long: `fleetctl takes machines out of service and brings them back, manages the tasks that
controllers hold, the fleet's policy and the advice on an overload, and lists the members
of the fleet. Its configuration is named by --config or FLEETCTL_CONFIG;
docs/DRAINING.md describes it, docs/LEASES.md the tasks.

` + cli.StatusHelp + `
 3  refused, nothing was changed
 4  out of time: the message says what that left`,
		Args: cli.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return cli.WrongCall("drain, undrain or status is needed, or tasks or task; see fleetctl --help")
		},
	}
	root.PersistentFlags().StringVar(&a.path, "config", a.path, "the configuration `FILE` (default: what FLEETCTL_CONFIG names)")
	root.AddCommand(a.drain(), a.undrain(), a.status(), a.tasks(), a.task(), a.policy(), a.overload(), a.members(), cli.VersionCommand("fleetctl"))
	return root
}

// config reads the configuration.
func (a *app) config() (*drain.Config, error) {
	if a.path == "" {
		return nil, cli.WrongCall("-config FILE is needed, or FLEETCTL_CONFIG")
	}
	return drain.LoadConfig(a.path)
}

// client makes a client of the registry for single calls.
func (a *app) client() (*client.Client, error) {
	c, err := a.config()
	if err != nil {
		return nil, err
	}
	r, err := client.New(c.Registry, uint64(time.Now().UnixNano()))
	if err != nil {
		return nil, err
	}
	return r.WithTimeout(callTimeout), nil
}

// workflow makes the workflow for this operator.
func (a *app) workflow() (*drain.Workflow, func(), error) {
	c, err := a.config()
	if err != nil {
		return nil, nil, err
	}
	name, err := os.Hostname()
	if err != nil {
		name = "operator"
	}
	return c.Workflow(fmt.Sprintf("%s/%d/%s", name, os.Getpid(), rand.Text()[:6]), pollEvery, func(e drain.Event) { fmt.Fprintln(a.out, e) })
}

// machine checks that a command has one machine as its argument.
func machine(c *cobra.Command, args []string) error {
	switch {
	case len(args) == 0:
		return cli.WrongCall("%s needs a machine", c.Name())
	case len(args) > 1:
		return cli.WrongCall("one machine at a time")
	}
	return nil
}

// exits gives an error of a workflow its exit status.
func exits(err error) error {
	switch {
	case errors.Is(err, drain.ErrRefused):
		return cli.ExitError(refused, "%w", err)
	case errors.Is(err, drain.ErrTimeout), errors.Is(err, context.Canceled) && !errors.Is(err, client.ErrUnreachable):
		return cli.ExitError(outOfTime, "%w", err)
	}
	return err
}
