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

// localFleetCommand makes the command localfleet.
func localFleetCommand() *cobra.Command {
	var out output
	var o localfleet.Options
	var sidecars, servers int
	var length time.Duration
	c := &cobra.Command{
		Use: "localfleet [SCENARIO]", Short: "Run a scenario on real sockets, with real sidecar processes", Args: cobra.MaximumNArgs(1),
		Long: `localfleet starts a registry, booking servers and sidecar processes on loopback, sends
requests as the scenario says, and follows each of them to its one answer. Everything it
starts ends with it, also at Ctrl-C; what was run until then is reported.
SCENARIO is a name (simulate --list has them) or a file
ending in .toml; calm where it is left out.`,
		Example: "  testbench localfleet slow --length 30s --html fleet.html",
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "of all that is drawn")
	f.IntVar(&sidecars, "sidecars", defaultSidecars, "of a scenario that has a name")
	f.IntVar(&servers, "servers", defaultServers, "of a scenario that has a name")
	f.DurationVar(&length, "length", defaultLength, "of a scenario that has a name")
	f.IntVar(&o.Registry, "registry", 1, "replicas of the list, 1 or 3")
	f.StringVar(&o.Program, "sidecar", "", "the sidecar's `PROGRAM`; sidecar beside testbench where it is left out")
	f.StringVar(&o.Logs, "logs", "", "keep the sidecars' logs in `FOLDER`")
	out.flags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		name := "calm"
		if len(args) > 0 {
			name = args[0]
		}
		sc, err := scenario(name, sidecars, servers)
		if err != nil {
			return err
		}
		if length <= 0 {
			return cli.WrongCall("--length must be above 0")
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
		// The registry in this process writes to the default log, of which only errors matter here.
		slog.SetDefault(slog.New(slog.NewTextHandler(live, &slog.HandlerOptions{Level: slog.LevelError})))
		o.Progress = func(r *emulator.Record) {
			if terminal(live) {
				fmt.Fprintf(live, "\r\x1b[K%d requests, %d served, %d refused, %d failed", r.Requests, r.ServedRequests, r.Refused, r.Failed)
			}
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: %d sidecars, %d servers, about %.0f requests a second for %v\n", sc.Name, sc.Sidecars, sc.Servers, sc.Rate(), time.Duration(sc.Length))
		r, err := localfleet.Run(c.Context(), o)
		if terminal(live) {
			fmt.Fprintln(live)
		}
		if r == nil || (err != nil && !errors.Is(err, context.Canceled)) {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), r.Line())
		printAccount(c.OutOrStdout(), r)
		if err := out.writeAll(r, func() (*report.Page, error) { return report.OfRecord(r, time.Now()) }); err != nil {
			return err
		}
		return verdict(r)
	}
	return c
}

// sidecarProgram returns the path of the sidecar's program: the named one, or the one beside this program.
func sidecarProgram(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("find the sidecar: %w", err)
		}
		path = filepath.Join(filepath.Dir(self), "sidecar")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the sidecar's program: %w; --sidecar names it", err)
	}
	return path, nil
}
