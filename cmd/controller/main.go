// Barleykeeper is a process that holds fleet-wide tasks.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/controller"
)

func main() {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := cli.Run(stop, "barleykeeper", newRoot(os.Getenv), os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(status)
}

func newRoot(getenv func(string) string) *cobra.Command {
	var level string
	path := getenv("BARLEYKEEPER_CONFIG")
	load := func() (*controller.Config, error) {
		if path == "" {
			return nil, cli.WrongCall("--config FILE is needed, or BARLEYKEEPER_CONFIG")
		}
		return controller.LoadConfig(path)
	}
	root := &cobra.Command{
		Use: "barleykeeper", Short: "Holds fleet-wide tasks", Args: cli.NoArgs,
		Long: `barleykeeper holds fleet-wide tasks: it runs drains, checks booking servers, keeps
copies of the registry. Any number run; each task is one keeper's at a time.
SIGTERM hands its tasks over and ends it. docs/LEASES.md describes the file.

` + cli.Statuses,
		Example: "  barleykeeper --config k1.toml\n  barleykeeper check --config k1.toml",
		RunE: func(c *cobra.Command, _ []string) error {
			var l slog.Level
			if err := l.UnmarshalText([]byte(level)); err != nil {
				return cli.WrongCall("--log-level is %q, it must be debug, info, warn or error", level)
			}
			cfg, err := load()
			if err != nil {
				return err
			}
			slog.SetDefault(slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: l})))
			return controller.Serve(c.Context(), cfg)
		},
	}
	root.PersistentFlags().StringVar(&path, "config", path, "the configuration `FILE` (default: what BARLEYKEEPER_CONFIG names)")
	root.Flags().StringVar(&level, "log-level", "info", "least level of the log: debug, info, warn or error")
	root.AddCommand(&cobra.Command{
		Use: "check", Short: "Read a configuration, start nothing", Args: cli.NoArgs, Example: "  barleykeeper check --config k1.toml",
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			var tasks []string
			for _, t := range cfg.Tasks(nil) {
				tasks = append(tasks, t.LeaseName)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: tasks %s; leases of %d ms\n", cfg.Name, strings.Join(tasks, ", "), cfg.LeaseMS)
			return nil
		},
	}, cli.VersionCommand("barleykeeper"))
	return root
}
