// Package sidecarcmd is the sidecar's command line. Two programs share it: one with
// metrics and one without, because serving metrics makes a program a quarter larger
// whether they are used or not.
package sidecarcmd

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"barleywick/internal/sidecar/config"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/shutdown"
	"barleywick/internal/sidecar"
	"barleywick/policy"
)

// Program describes one of the two programs. Its parts are constructors, because each part takes memory
// whether a configuration names it or not; nil: the program does not have it.
type Program struct {
	Name       string // the program's
	FormerName string // deprecated; a link of this name still starts the program

	NewExporter func() sidecar.MetricsExporter           // makes what serves metrics
	NewMember   func(*config.Config) sidecar.FleetMember // makes a sidecar a member of the fleet
}

// farewellTime is for what a sidecar does once every request is answered: it leaves the roster and
// the fleet, and ends its calls of the registry. A platform that kills it earlier cuts off no request.
const cleanupTimeout = 10 * time.Second

// endBound is how long a sidecar may take to end. A request that it has taken has its client's whole
// time, however long that is.
func shutdownTimeout(classes []policy.Class) time.Duration {
	bound := policy.ShutdownTimeout(classes)
	for _, class := range classes {
		bound = max(bound, class.Deadline)
	}
	return bound + cleanupTimeout
}

// Main runs the program with its command line and exits with the status that follows.
func Main(program Program) {
	cli.WarnFormerProgram(os.Stderr, os.Args[0], program.FormerName, program.Name)
	os.Exit(run(program, os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

func run(program Program, args []string, getenv func(string) string, out, errs io.Writer) int {
	return cli.Run(context.Background(), "sidecar", newRoot(program, getenv, out, errs), args, out, errs)
}

// newRoot makes the command tree. Without a command the program serves, as the platform starts it.
func newRoot(program Program, getenv func(string) string, out, errs io.Writer) *cobra.Command {
	var logs logFlags
	serve := func(*cobra.Command, []string) error { return serve(program, getenv, logs, errs) }
	root := &cobra.Command{
		Use:   "sidecar",
		Short: "A client-side load balancer that runs beside one client",
		Long: `sidecar carries the requests of the client beside it to booking servers.

Without a command it does what serve does. ROUTER_CONFIG names the configuration
file; ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY go before what it says.

` + cli.StatusHelp,
		Example: `  ROUTER_CONFIG=sidecar.json sidecar
  sidecar check sidecar.json
  sidecar completion bash > /etc/bash_completion.d/sidecar`,
		Args: cli.NoArgs, RunE: serve,
	}
	logs.add(root)
	root.AddCommand(
		&cobra.Command{
			Use: "serve", Short: "Serve until SIGTERM", Args: cli.NoArgs, RunE: serve,
			Long: `serve carries requests until SIGTERM, then finishes what it has taken and ends.
SIGHUP reads the configuration again: discovery, the limits on connections.`,
			Example: "  ROUTER_CONFIG=sidecar.json ROUTER_LISTEN=127.0.0.1:7070 sidecar serve --log-format json",
		},
		&cobra.Command{
			Use: "check [FILE]", Short: "Read a configuration and explain what follows from it", Args: cobra.MaximumNArgs(1),
			Long: `check reads a configuration as serve does, starts nothing, and prints each figure
that follows from it. FILE is the one that ROUTER_CONFIG names where it is left out.`,
			Example: "  sidecar check sidecar.json",
			RunE:    func(_ *cobra.Command, args []string) error { return check(getenv, args, out) },
		},
		cli.VersionCommand("sidecar"),
	)
	return root
}

// logFlags are the flags for the program's log.
type logFlags struct{ level, format string }

// add adds the flags to a command and its subcommands.
func (f *logFlags) add(c *cobra.Command) {
	c.PersistentFlags().StringVar(&f.level, "log-level", "", "least level of the log: debug, info, warn or error (default: the configuration's, or info)")
	c.PersistentFlags().StringVar(&f.format, "log-format", "", "form of the log: text or json (default: the configuration's, or text)")
}

// logger makes the logger that the flags describe, or else the configuration file.
func (f logFlags) logger(w io.Writer, file config.Log) (*slog.Logger, error) {
	var level slog.Level
	if text := cmp.Or(f.level, file.Level, "info"); level.UnmarshalText([]byte(text)) != nil {
		return nil, cli.WrongCall("log level is %q; there are debug, info, warn and error", text)
	}
	options := &slog.HandlerOptions{Level: level}
	switch format := cmp.Or(f.format, file.Format, "text"); format {
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	default:
		return nil, cli.WrongCall("log format is %q; there are text and json", format)
	}
}

func serve(program Program, getenv func(string) string, logs logFlags, errs io.Writer) error {
	log, err := logs.logger(errs, config.Log{}) // until the configuration is read
	if err != nil {
		return err
	}
	slog.SetDefault(log)
	stopCtx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// Without a handler SIGHUP would end the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	c, err := shutdown.Await(stopCtx, func() (*config.Config, error) { return config.Load(getenv) })
	if stopCtx.Err() != nil {
		return nil // nothing has started
	}
	if err != nil {
		return err
	}
	if log, err = logs.logger(errs, c.Log); err != nil {
		return err
	}
	slog.SetDefault(log)
	applyLimits(c.Limits)
	options := []sidecar.Option{sidecar.WithMembership(program.NewMember)}
	if c.Metrics.Listen != "" {
		if program.NewExporter == nil {
			return errors.New("metrics.listen is set, and this program serves none: start sidecar-metrics, which does")
		}
		options = append(options, sidecar.WithMetrics(program.NewExporter()))
	}
	defer shutdown.Guard(stopCtx, "sidecar", shutdownTimeout(c.Policy.Classes))()
	return sidecar.Run(stopCtx, reload, c, options...)
}

// applyLimits keeps the runtime within the platform's limits. The heap is small, so it
// is collected rarely, but the memory limit is kept to with a quarter to spare.
func applyLimits(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 / 4 * 3)
		debug.SetGCPercent(400)
	}
}

// check reads a configuration and prints what follows from it.
func check(getenv func(string) string, args []string, out io.Writer) error {
	env := getenv
	if len(args) == 1 {
		env = func(name string) string {
			if name == "ROUTER_CONFIG" {
				return args[0]
			}
			return getenv(name)
		}
	}
	c, err := config.Load(env)
	if err != nil {
		return err
	}
	return c.Explain(out)
}
