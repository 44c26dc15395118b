// Fleetctl is the operators' command-line tool: it drains machines, and manages tasks and the fleet policy.
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
	statusDone      = cli.StatusOK
	statusFailed    = cli.StatusFailed
	statusWrongCall = cli.StatusUsageError
	statusRefused   = 3
	statusTimedOut  = 4
)

const (
	defaultTimeout = 5 * time.Minute
	pollInterval   = 200 * time.Millisecond
	// callTimeout bounds a single read or write.
	callTimeout = 15 * time.Second
	// shutdownTimeout limits how long an interrupted command may take to exit: it first undoes its
	// drain, which takes at most as long as the drain's claim lasts.
	shutdownTimeout = time.Minute
)

func main() {
	cli.WarnFormerProgram(os.Stderr, os.Args[0], "barleyctl", "fleetctl")
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ended := shutdown.Guard(stop, "fleetctl", shutdownTimeout)
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

// app holds the path of the configuration and the output, which all commands share.
type app struct {
	path string
	out  io.Writer
}

func newRoot(a *app) *cobra.Command {
	root := &cobra.Command{
		Use:   "fleetctl",
		Short: "Manages a fleet: drains, tasks, fleet policy and members",
		Long: `fleetctl takes machines out of service and brings them back, manages the tasks that
controllers hold and the fleet policy, shows the overload advice, and lists the members
of the fleet. --config or FLEETCTL_CONFIG names its configuration file;
docs/DRAINING.md describes the file, docs/LEASES.md the tasks.

` + cli.StatusHelp + `
 3  refused, nothing was changed
 4  timed out or interrupted; the message describes the resulting state`,
		Args: cli.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return cli.UsageError("a command such as drain, undrain or status is needed; see fleetctl --help")
		},
	}
	root.PersistentFlags().StringVar(&a.path, "config", a.path, "the configuration `FILE` (default: the file that FLEETCTL_CONFIG names)")
	root.AddCommand(a.drain(), a.undrain(), a.status(), a.tasks(), a.task(), a.policy(), a.overload(), a.members(), cli.VersionCommand("fleetctl"))
	return root
}

// config reads the configuration.
func (a *app) config() (*drain.Config, error) {
	if a.path == "" {
		return nil, cli.UsageError("--config FILE or FLEETCTL_CONFIG is needed")
	}
	return drain.LoadConfig(a.path)
}

// client creates a registry client whose calls are limited by callTimeout.
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

// workflow creates a drain workflow that claims drains under a name unique to this process.
func (a *app) workflow() (*drain.Workflow, func(), error) {
	c, err := a.config()
	if err != nil {
		return nil, nil, err
	}
	name, err := os.Hostname()
	if err != nil {
		name = "operator"
	}
	return c.Workflow(fmt.Sprintf("%s/%d/%s", name, os.Getpid(), rand.Text()[:6]), pollInterval, func(e drain.Event) { fmt.Fprintln(a.out, e) })
}

// exactlyOneMachine checks that a command has one argument, the machine.
func exactlyOneMachine(c *cobra.Command, args []string) error {
	switch {
	case len(args) == 0:
		return cli.UsageError("%s needs a machine", c.Name())
	case len(args) > 1:
		return cli.UsageError("a command takes exactly one machine, got %q", args)
	}
	return nil
}

// withExitStatus adds the exit status to an error of a drain workflow.
func withExitStatus(err error) error {
	switch {
	case errors.Is(err, drain.ErrRefused):
		return cli.ExitError(statusRefused, "%w", err)
	case errors.Is(err, drain.ErrTimeout), errors.Is(err, context.Canceled) && !errors.Is(err, client.ErrUnreachable):
		return cli.ExitError(statusTimedOut, "%w", err)
	}
	return err
}
