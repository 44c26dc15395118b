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

// simulateCommand makes the command simulate.
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
	c.Flags().Uint64Var(&seed, "seed", 1, "of all that is drawn: the same seed gives the same run")
	c.Flags().IntVar(&sidecars, "sidecars", emulator.DefaultScenario().Sidecars, "of a scenario that has a name")
	c.Flags().IntVar(&servers, "servers", emulator.DefaultScenario().Servers, "of a scenario that has a name")
	c.Flags().DurationVar(&length, "length", 0, "stretch the run to this `LENGTH`; 0: as the scenario has it")
	c.Flags().BoolVar(&list, "list", false, "list the scenarios that have a name, and the faults")
	out.flags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		if list {
			return printCatalogue(c.OutOrStdout())
		}
		if len(args) == 0 {
			return cli.WrongCall("a scenario is needed; --list names them")
		}
		sc, err := scenario(args[0], sidecars, servers)
		if err != nil {
			return err
		}
		if length != 0 {
			if length < 0 {
				return cli.WrongCall("--length must not be negative")
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
		printAccount(c.OutOrStdout(), r)
		fmt.Fprintf(c.OutOrStdout(), "played in %v: %.0f requests and %.0f events a second\n", took.Round(time.Millisecond),
			float64(r.Requests)/took.Seconds(), float64(r.Events)/took.Seconds())
		if err := out.writeAll(r, func() (*report.Page, error) { return report.OfRecord(r, time.Now()) }); err != nil {
			return err
		}
		return verdict(r)
	}
	return c
}

// printAccount prints the causes of the weight that was not served, and what else the fleet did.
func printAccount(w io.Writer, r *emulator.Record) {
	for _, cause := range r.Causes() {
		fmt.Fprintf(w, "  %6.2f %%  %s\n", 100*r.LostShare(cause), cause)
	}
	for _, what := range slices.Sorted(maps.Keys(r.Costs)) {
		fmt.Fprintf(w, "  %6.2f points for %s\n", 100*r.Costs[what], what)
	}
	h, seconds := r.Impact(), r.Length.Seconds()
	fmt.Fprintf(w, "  the fleet sent %.2f times for a request, %d again:", float64(h.Sends)/float64(max(1, r.Requests)), h.TotalRetries())
	for _, cause := range slices.Sorted(maps.Keys(h.Retries)) {
		fmt.Fprintf(w, " %d %s,", h.Retries[cause], cause)
	}
	each := float64(max(1, r.Servers)) * max(1, seconds)
	fmt.Fprintf(w, " %d turned away; %.1f core seconds of work served nobody;\n  for a server and second %.1f probes (%.0f %% of them at crowded ones), %.1f handshakes (%.0f %%); %d of %d calls for the list failed\n",
		h.Rejected, h.WastedWork, float64(h.Probes)/each, percent(h.ProbesToFullQueues, h.Probes), float64(h.Handshakes)/each, percent(h.HandshakesToFullQueues, h.Handshakes), h.ListFailed, h.ListCalls)
}

// percent returns a part of a total in per cent.
func percent(part, of int) float64 { return 100 * float64(part) / float64(max(1, of)) }

// scenario loads a scenario file, or the scenario of a name.
func scenario(name string, sidecars, servers int) (*emulator.Scenario, error) {
	if filepath.Ext(name) == ".toml" {
		return emulator.LoadScenario(name)
	}
	return emulator.Preset(name, sidecars, servers)
}

// printCatalogue lists the scenarios and faults that have names.
func printCatalogue(w io.Writer) error {
	var text strings.Builder
	part := func(title string, names []string, about map[string]string) {
		fmt.Fprintf(&text, "%s\n", title)
		for _, name := range names {
			fmt.Fprintf(&text, "  %-12s %s\n", name, about[name])
		}
	}
	names, about := emulator.PresetNames()
	part("scenarios", names, about)
	names, about = emulator.FaultNames()
	part("faults, for scenario files", names, about)
	_, err := io.WriteString(w, text.String())
	return err
}

// verdict returns the error that gives a run its exit status.
func verdict(r *emulator.Record) error {
	switch {
	case r.Partial:
		return cli.ExitError(statusInterrupted, "interrupted")
	case len(r.ViolationTexts) > 0:
		return cli.ExitError(statusRuleBroken, "a rule was broken")
	}
	return nil
}
