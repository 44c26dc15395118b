// Controller runs fleet-wide tasks under leases.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/controller"
	"barleywick/internal/shutdown"
)

// shutdownTimeout limits how long a controller may take to shut down: it hands over its tasks, each with a
// registry call, and leaves the fleet.
const shutdownTimeout = 20 * time.Second

func main() {
	cli.WarnFormerProgram(os.Stderr, os.Args[0], "barleykeeper", "controller")
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := cli.Run(stop, "controller", newRoot(os.Getenv, os.Stderr), os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(status)
}

// ignoreReloads catches SIGHUP, which would otherwise end the process, and logs a warning that the
// configuration is not reloaded. The returned function stops the warnings.
func ignoreReloads() (stop func()) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-reload:
				slog.Warn("controller: configuration not reloaded, restart the process to apply changes")
			case <-stopped:
				return
			}
		}
	}()
	return func() { close(stopped) } // SIGHUP stays caught until the process ends
}

func newRoot(getenv func(string) string, errs io.Writer) *cobra.Command {
	var level string
	path := cli.LookupEnv(getenv, errs, "CONTROLLER_CONFIG", "BARLEYKEEPER_CONFIG")
	load := func() (*controller.Config, error) {
		if path == "" {
			return nil, cli.UsageError("--config FILE or CONTROLLER_CONFIG is needed")
		}
		return controller.LoadConfig(path)
	}
	root := &cobra.Command{
		Use: "controller", Short: "Runs fleet-wide tasks under leases", Args: cli.NoArgs,
		Long: `controller runs fleet-wide tasks: drains, health checks of booking servers, copies of the
registry. Any number of controllers may run; each task is held by one of them at a time.
On SIGTERM a controller hands over its tasks and exits. docs/LEASES.md describes the file.

` + cli.StatusHelp,
		Example: "  controller --config k1.toml\n  controller check --config k1.toml",
		RunE: func(c *cobra.Command, _ []string) error {
			var l slog.Level
			if err := l.UnmarshalText([]byte(level)); err != nil {
				return cli.UsageError("--log-level is %q, it must be debug, info, warn or error", level)
			}
			cfg, err := shutdown.Await(c.Context(), load)
			if c.Context().Err() != nil {
				return nil // interrupted before anything has started
			}
			if err != nil {
				return err
			}
			slog.SetDefault(slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: l})))
			defer shutdown.Guard(c.Context(), "controller", shutdownTimeout)()
			defer ignoreReloads()()
			return controller.Serve(c.Context(), cfg)
		},
	}
	root.PersistentFlags().StringVar(&path, "config", path, "the configuration `FILE` (default: the file that CONTROLLER_CONFIG names)")
	root.Flags().StringVar(&level, "log-level", "info", "lowest log level: debug, info, warn or error")
	root.AddCommand(&cobra.Command{
		Use: "check", Short: "Check a configuration without starting the controller", Args: cli.NoArgs, Example: "  controller check --config k1.toml",
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := shutdown.Await(c.Context(), load)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: tasks %s; leases of %d ms\n", cfg.Name, strings.Join(cfg.LeaseNames(), ", "), cfg.LeaseMS)
			return nil
		},
	}, cli.VersionCommand("controller"))
	return root
}
