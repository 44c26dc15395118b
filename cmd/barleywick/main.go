// Barleywick is the sidecar: it runs beside one application process and carries
// its requests to the booking servers.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"barleywick/internal/sidecar"
)

// Exit statuses, for scripts.
const (
	statusDone = iota
	statusFailed
	statusWrongCall
)

// errCall marks an error of the command line, as against one of the work.
var errCall = errors.New("wrong call")

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// run carries one call out and returns its exit status.
func run(args []string, getenv func(string) string, out, errs io.Writer) int {
	root := newRoot(getenv, out, errs)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return statusDone
	}
	fmt.Fprintln(errs, "barleywick:", err)
	if errors.Is(err, errCall) {
		return statusWrongCall
	}
	return statusFailed
}

// newRoot makes the command tree. Without a command it serves, as the platform starts it.
func newRoot(getenv func(string) string, out, errs io.Writer) *cobra.Command {
	var logs logFlags
	serve := func(*cobra.Command, []string) error { return serve(getenv, logs, errs) }
	root := &cobra.Command{
		Use:   "barleywick",
		Short: "A client-side load balancer that runs beside one client",
		Long: `barleywick carries the requests of the client beside it to booking servers.

Without a command it does what serve does. ROUTER_CONFIG names the configuration
file; ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY go before what it says.

Exit status: 0 done, 1 failed, 2 wrong call.`,
		Example: `  ROUTER_CONFIG=sidecar.json barleywick
  barleywick check sidecar.json
  barleywick completion bash > /etc/bash_completion.d/barleywick`,
		Args: noArgs, RunE: serve, SilenceErrors: true, SilenceUsage: true,
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errCall, err) })
	logs.add(root)
	root.AddCommand(
		&cobra.Command{
			Use: "serve", Short: "Serve until SIGTERM", Args: noArgs, RunE: serve,
			Long: `serve carries requests until SIGTERM, then finishes what it has taken and ends.
SIGHUP reads the configuration again: discovery, the limits on connections.`,
			Example: "  ROUTER_CONFIG=sidecar.json ROUTER_LISTEN=127.0.0.1:7070 barleywick serve --log-format json",
		},
		&cobra.Command{
			Use: "check [FILE]", Short: "Read a configuration and explain what follows from it", Args: atMostOne,
			Long: `check reads a configuration as serve does, starts nothing, and prints each figure
that follows from it. FILE is the one that ROUTER_CONFIG names where it is left out.`,
			Example: "  barleywick check sidecar.json",
			RunE:    func(_ *cobra.Command, args []string) error { return check(getenv, args, out) },
		},
		&cobra.Command{
			Use: "version", Short: "Print what was built, from which source, with which Go", Args: noArgs,
			RunE: func(*cobra.Command, []string) error { return version(out) },
		},
	)
	return root
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%w: no command %q; see %s --help", errCall, args[0], c.CommandPath())
	}
	return nil
}

func atMostOne(c *cobra.Command, args []string) error {
	if len(args) > 1 {
		return fmt.Errorf("%w: one file at a time; see %s --help", errCall, c.CommandPath())
	}
	return nil
}

// logFlags say how the program's own log is written.
type logFlags struct{ level, format string }

func (f *logFlags) add(c *cobra.Command) {
	c.PersistentFlags().StringVar(&f.level, "log-level", "info", "least level of the log: debug, info, warn or error")
	c.PersistentFlags().StringVar(&f.format, "log-format", "text", "form of the log: text or json")
}

// logger makes the log that the flags describe.
func (f logFlags) logger(w io.Writer) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.level)); err != nil {
		return nil, fmt.Errorf("%w: --log-level: %w", errCall, err)
	}
	o := &slog.HandlerOptions{Level: level}
	switch f.format {
	case "text":
		return slog.New(slog.NewTextHandler(w, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, o)), nil
	}
	return nil, fmt.Errorf("%w: --log-format is %q; there are text and json", errCall, f.format)
}

func serve(getenv func(string) string, logs logFlags, errs io.Writer) error {
	log, err := logs.logger(errs)
	if err != nil {
		return err
	}
	slog.SetDefault(log)
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	// Unhandled, the signal that says 'read your configuration again' would end the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	c, err := sidecar.LoadConfig(getenv)
	if err != nil {
		return err
	}
	fit(c.Limits)
	return sidecar.Run(stop, reload, c)
}

// fit keeps the runtime within the platform's limits. The heap is small, so it
// is collected rarely, but the memory limit is kept to with a quarter to spare.
func fit(l sidecar.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 / 4 * 3)
		debug.SetGCPercent(400)
	}
}

// check explains a configuration.
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
	c, err := sidecar.LoadConfig(env)
	if err != nil {
		return err
	}
	return c.Explain(out)
}

func version(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary holds no build information")
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", with changes"
		}
	}
	_, err := fmt.Fprintf(out, "barleywick %s, source %s%s, %s\n", info.Main.Version, revision, modified, info.GoVersion)
	return err
}
