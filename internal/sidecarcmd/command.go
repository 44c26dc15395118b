// Package sidecarcmd is the sidecar's command line. Two programs share it, one with metrics and one
// without, because linking the metrics server makes a program a quarter larger even if it is not used.
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

// Program describes one of the two programs. Its optional parts are constructors, so that a part that the
// configuration does not use takes no memory. A nil constructor means that the program lacks the part.
type Program struct {
	Name       string
	FormerName string // deprecated; a link of this name still starts the program

	NewExporter func() sidecar.MetricsExporter           // constructs the metrics exporter
	NewMember   func(*config.Config) sidecar.FleetMember // constructs the sidecar's fleet member
}

// cleanupTimeout is for the steps after the last response: leaving the roster and the fleet, and ending
// calls to the registry. If the platform kills the process during them, no request is lost.
const cleanupTimeout = 10 * time.Second

// shutdownTimeout returns how long a sidecar may take to shut down. A request that was accepted may use its
// class's whole deadline, even if that is longer than policy.ShutdownTimeout.
func shutdownTimeout(classes []policy.Class) time.Duration {
	bound := policy.ShutdownTimeout(classes)
	for _, class := range classes {
		bound = max(bound, class.Deadline)
	}
	return bound + cleanupTimeout
}

// Main runs the program with the process's command line and exits with the resulting status.
func Main(program Program) {
	cli.WarnFormerProgram(os.Stderr, os.Args[0], program.FormerName, program.Name)
	os.Exit(run(program, os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

func run(program Program, args []string, getenv func(string) string, out, errs io.Writer) int {
	return cli.Run(context.Background(), "sidecar", newRoot(program, getenv, out, errs), args, out, errs)
}

// newRoot returns the command tree. Without a subcommand the program serves, because the platform starts it
// that way.
func newRoot(program Program, getenv func(string) string, out, errs io.Writer) *cobra.Command {
	var logs logFlags
	serve := func(*cobra.Command, []string) error { return serve(program, getenv, logs, errs) }
	root := &cobra.Command{
		Use:   "sidecar",
		Short: "A client-side load balancer that runs beside one client",
		Long: `sidecar forwards the requests of the client beside it to booking servers.

Without a command it runs serve. ROUTER_CONFIG names the configuration file;
ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY override its values.

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
			Long: `serve forwards requests until SIGTERM, then completes the accepted ones and exits.
SIGHUP reloads discovery and the limits on connections from the configuration.`,
			Example: "  ROUTER_CONFIG=sidecar.json ROUTER_LISTEN=127.0.0.1:7070 sidecar serve --log-format json",
		},
		&cobra.Command{
			Use: "check [FILE]", Short: "Check a configuration and print the values derived from it", Args: cobra.MaximumNArgs(1),
			Long: `check reads a configuration like serve, but starts nothing. It prints each value
derived from the configuration. FILE defaults to the file that ROUTER_CONFIG names.`,
			Example: "  sidecar check sidecar.json",
			RunE:    func(_ *cobra.Command, args []string) error { return check(getenv, args, out) },
		},
		cli.VersionCommand("sidecar"),
	)
	return root
}

// logFlags holds the flags that configure the program's log.
type logFlags struct{ level, format string }

// add adds the flags to a command and its subcommands.
func (f *logFlags) add(c *cobra.Command) {
	c.PersistentFlags().StringVar(&f.level, "log-level", "", "lowest log level: debug, info, warn or error (default: the configuration's, or info)")
	c.PersistentFlags().StringVar(&f.format, "log-format", "", "log format: text or json (default: the configuration's, or text)")
}

// logger returns a logger. The flags take precedence over the configuration file.
func (f logFlags) logger(w io.Writer, file config.Log) (*slog.Logger, error) {
	var level slog.Level
	if text := cmp.Or(f.level, file.Level, "info"); level.UnmarshalText([]byte(text)) != nil {
		return nil, cli.UsageError("log level is %q, want debug, info, warn or error", text)
	}
	options := &slog.HandlerOptions{Level: level}
	switch format := cmp.Or(f.format, file.Format, "text"); format {
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	default:
		return nil, cli.UsageError("log format is %q, want text or json", format)
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
	// Registered before the configuration is read, because an unhandled SIGHUP would end the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	c, err := shutdown.Await(stopCtx, func() (*config.Config, error) { return config.Load(getenv) })
	if stopCtx.Err() != nil {
		return nil // stopped before anything was started
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
			return errors.New("metrics.listen is set, but this program does not serve metrics: use sidecar-metrics")
		}
		options = append(options, sidecar.WithMetrics(program.NewExporter()))
	}
	defer shutdown.Guard(stopCtx, "sidecar", shutdownTimeout(c.Policy.Classes))()
	return sidecar.Run(stopCtx, reload, c, options...)
}

// applyLimits configures the runtime for the platform's limits. The heap is small, so it is collected
// rarely. The runtime's memory limit leaves room for what the process takes beside it.
func applyLimits(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.Memory().Runtime)
		debug.SetGCPercent(400)
	}
}

// check reads a configuration and prints the values derived from it.
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
