package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/simulation/emulator"
	"barleywick/internal/simulation/report"
)

// simulateCommand returns the command simulate.
func simulateCommand() *cobra.Command {
	var out output
	var seed uint64
	var sidecars, servers int
	var length time.Duration
	var list bool
	c := &cobra.Command{
		Use: "simulate SCENARIO", Short: "Run one scenario in simulated time", Args: cobra.MaximumNArgs(1),
		Long: `simulate runs one scenario with the real decision module of each sidecar. SCENARIO is a
name (see --list) or a file ending in .toml; docs/EMULATOR.md describes the file.`,
		Example: "  testbench simulate zone --seed 3 --html zone.html",
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of all random draws: the same seed gives the same run")
	c.Flags().IntVar(&sidecars, "sidecars", emulator.DefaultScenario().Sidecars, "number of sidecars in a named scenario")
	c.Flags().IntVar(&servers, "servers", emulator.DefaultScenario().Servers, "number of booking servers in a named scenario")
	c.Flags().DurationVar(&length, "length", 0, "stretch the run to this `LENGTH`; 0: the scenario's own length")
	c.Flags().BoolVar(&list, "list", false, "list the named scenarios and the faults")
	out.flags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		if list {
			return printCatalogue(c.OutOrStdout())
		}
		if len(args) == 0 {
			return cli.UsageError("a scenario is needed; see --list")
		}
		sc, err := loadScenario(args[0], sidecars, servers)
		if err != nil {
			return err
		}
		if length != 0 {
			if length < 0 {
				return cli.UsageError("--length must not be negative")
			}
			sc.Stretch(length)
		}
		s, err := emulator.NewSim(sc, seed, emulator.NewBalancer)
		if err != nil {
			return err
		}
		began := time.Now()
		r, err := s.Run(c.Context())
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
		took := time.Since(began)
		fmt.Fprintln(c.OutOrStdout(), r.Line())
		printLosses(c.OutOrStdout(), r)
		fmt.Fprintf(c.OutOrStdout(), "simulated in %v: %.0f requests and %.0f events a second\n", took.Round(time.Millisecond),
			float64(r.Requests)/took.Seconds(), float64(r.Events)/took.Seconds())
		if err := out.writeAll(r, func() (*report.Page, error) { return report.PageFromRecord(r, time.Now()) }); err != nil {
			return err
		}
		return runError(r)
	}
	return c
}

// printLosses prints the causes of the weight that was not served, the costs, and the retries, wasted work and
// overhead of the fleet.
func printLosses(w io.Writer, r *emulator.Record) {
	for _, cause := range r.Causes() {
		fmt.Fprintf(w, "  %6.2f %%  %s\n", 100*r.LostShare(cause), cause)
	}
	for _, purpose := range slices.Sorted(maps.Keys(r.Costs)) {
		fmt.Fprintf(w, "  %6.2f points for %s\n", 100*r.Costs[purpose], purpose)
	}
	impact, seconds := r.Impact(), r.Length.Seconds()
	fmt.Fprintf(w, "  the fleet sent %.2f attempts per request, %d retries:", float64(impact.Sends)/float64(max(1, r.Requests)), impact.TotalRetries())
	for _, cause := range slices.Sorted(maps.Keys(impact.Retries)) {
		fmt.Fprintf(w, " %d %s,", impact.Retries[cause], cause)
	}
	serverSeconds := float64(max(1, r.Servers)) * max(1, seconds)
	fmt.Fprintf(w, " %d rejected; %.1f core seconds of wasted work;\n  per server and second %.1f probes (%.0f %% of them at queues that are half full), %.1f handshakes (%.0f %%); %d of %d list requests failed\n",
		impact.Rejected, impact.WastedWork, float64(impact.Probes)/serverSeconds, percent(impact.ProbesToFullQueues, impact.Probes), float64(impact.Handshakes)/serverSeconds, percent(impact.HandshakesToFullQueues, impact.Handshakes), impact.ListFailed, impact.ListCalls)
}

// percent returns a part of a total in percent.
func percent(part, of int) float64 { return 100 * float64(part) / float64(max(1, of)) }

// loadScenario loads a scenario file, or returns the named scenario.
func loadScenario(name string, sidecars, servers int) (*emulator.Scenario, error) {
	if filepath.Ext(name) == ".toml" {
		return emulator.LoadScenario(name)
	}
	return emulator.Preset(name, sidecars, servers)
}

// printCatalogue lists the named scenarios and faults.
func printCatalogue(w io.Writer) error {
	var text strings.Builder
	section := func(title string, names []string, descriptions map[string]string) {
		fmt.Fprintf(&text, "%s\n", title)
		for _, name := range names {
			fmt.Fprintf(&text, "  %-12s %s\n", name, descriptions[name])
		}
	}
	names, descriptions := emulator.PresetNames()
	section("scenarios", names, descriptions)
	names, descriptions = emulator.FaultNames()
	section("faults, for scenario files", names, descriptions)
	_, err := io.WriteString(w, text.String())
	return err
}

// runError returns the error that sets the exit status of a run: interrupted, or a rule was broken.
func runError(r *emulator.Record) error {
	switch {
	case r.Partial:
		return cli.ExitError(statusInterrupted, "interrupted")
	case len(r.ViolationTexts) > 0:
		return cli.ExitError(statusRuleBroken, "a rule was broken")
	}
	return nil
}
