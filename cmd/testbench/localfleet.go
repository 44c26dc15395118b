package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/simulation/emulator"
	"barleywick/internal/simulation/report"
	"barleywick/internal/testing/localfleet"
)

// Defaults of a fleet on one machine.
const (
	defaultSidecars = 3
	defaultServers  = 8
	defaultLength   = 20 * time.Second
)

// localFleetCommand returns the command localfleet.
func localFleetCommand() *cobra.Command {
	var out output
	var o localfleet.Options
	var sidecars, servers int
	var length time.Duration
	c := &cobra.Command{
		Use: "localfleet [SCENARIO]", Short: "Run a scenario on real sockets, with real sidecar processes", Args: cobra.MaximumNArgs(1),
		Long: `localfleet starts a registry, booking servers and sidecar processes on loopback, sends the
scenario's requests, and checks that each gets exactly one response. All processes that it
starts end with it, also at Ctrl-C, and the part that was run is reported.
SCENARIO is a name (see simulate --list) or a file ending in .toml; the default is calm.`,
		Example: "  testbench localfleet slow --length 30s --html fleet.html",
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of all random draws")
	f.IntVar(&sidecars, "sidecars", defaultSidecars, "number of sidecars in a named scenario")
	f.IntVar(&servers, "servers", defaultServers, "number of booking servers in a named scenario")
	f.DurationVar(&length, "length", defaultLength, "duration of a named scenario")
	f.IntVar(&o.Registry, "registry", 1, "number of registry replicas, 1 or 3")
	f.StringVar(&o.Program, "sidecar", "", "the sidecar's `PROGRAM` (default: sidecar in testbench's folder)")
	f.StringVar(&o.Logs, "logs", "", "keep the sidecars' logs in `FOLDER`")
	out.flags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		name := "calm"
		if len(args) > 0 {
			name = args[0]
		}
		sc, err := loadScenario(name, sidecars, servers)
		if err != nil {
			return err
		}
		if length <= 0 {
			return cli.UsageError("--length must be above 0")
		}
		if filepath.Ext(name) != ".toml" {
			sc.Stretch(length)
		}
		o.Scenario = sc
		if o.Program, err = sidecarProgram(o.Program); err != nil {
			return err
		}
		if o.Logs != "" {
			if err := os.MkdirAll(o.Logs, 0o755); err != nil {
				return fmt.Errorf("--logs: %w", err)
			}
		}
		live := c.ErrOrStderr()
		// The registry in this process writes to the default log; only its errors are of interest here.
		slog.SetDefault(slog.New(slog.NewTextHandler(live, &slog.HandlerOptions{Level: slog.LevelError})))
		o.Progress = func(r *emulator.Record) {
			if isTerminal(live) {
				fmt.Fprintf(live, "\r\x1b[K%d requests, %d served, %d refused, %d failed", r.Requests, r.ServedRequests, r.Refused, r.Failed)
			}
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: %d sidecars, %d servers, about %.0f requests a second for %v\n", sc.Name, sc.Sidecars, sc.Servers, sc.Rate(), time.Duration(sc.Length))
		r, err := localfleet.Run(c.Context(), o)
		if isTerminal(live) {
			fmt.Fprintln(live)
		}
		if r == nil || (err != nil && !errors.Is(err, context.Canceled)) {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), r.Line())
		printLosses(c.OutOrStdout(), r)
		if err := out.writeAll(r, func() (*report.Page, error) { return report.PageFromRecord(r, time.Now()) }); err != nil {
			return err
		}
		return runError(r)
	}
	return c
}

// sidecarProgram returns the path of the sidecar's program: the named one, or the one in this program's folder.
func sidecarProgram(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("find the sidecar's program: %w", err)
		}
		path = filepath.Join(filepath.Dir(self), "sidecar")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("find the sidecar's program: %w; set its path with --sidecar", err)
	}
	return path, nil
}
