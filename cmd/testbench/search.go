package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"barleywick/internal/cli"
	"barleywick/internal/simulation/emulator"
)

// maxSearchRuns limits the runs of one search.
const maxSearchRuns = 100_000

// searchCommand returns the command search.
func searchCommand() *cobra.Command {
	var out output
	var seed uint64
	var days, sidecars, servers int
	var keep string
	c := &cobra.Command{
		Use: "search", Short: "Search for runs in which a fleet does not recover", Args: cli.NoArgs,
		Long: fmt.Sprintf(`search draws scenarios with a surge and a fault from seeds, runs them on all cores, and lists
those that have not recovered %v after both have ended. A run has recovered after three seconds
in a row at 0.95 of the requested weight. --keep DIR saves the scenario files to replay them.`, emulator.RecoveryLimit),
		Example: "  testbench search --sidecars 300 --servers 67 --days 200 --keep found",
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run, incremented for each further one")
	c.Flags().IntVar(&days, "days", 60, "number of runs")
	c.Flags().IntVar(&sidecars, "sidecars", emulator.DefaultScenario().Sidecars, "number of sidecars in each run")
	c.Flags().IntVar(&servers, "servers", emulator.DefaultScenario().Servers, "number of booking servers in each run")
	c.Flags().StringVar(&keep, "keep", "", "write the scenario of each run that has not recovered into `DIR`")
	c.Flags().StringVar(&out.json, "json", "", "write all runs to `FILE`")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if days < 1 || days > maxSearchRuns {
			return cli.UsageError("--days is %d, it must lie between 1 and %d", days, maxSearchRuns)
		}
		if _, _, err := emulator.SearchScenario(seed, sidecars, servers); err != nil {
			return cli.UsageError("%v", err)
		}
		all := make([]*emulator.SearchResult, days)
		runs, ctx := errgroup.WithContext(c.Context())
		runs.SetLimit(runtime.GOMAXPROCS(0))
		for i := range all {
			runs.Go(func() (err error) {
				all[i], err = emulator.RunSearch(ctx, seed+uint64(i), sidecars, servers, emulator.NewBalancer)
				return err
			})
		}
		if err := runs.Wait(); err != nil {
			return err
		}
		if err := out.writeAll(all, nil); err != nil {
			return err
		}
		return printSearch(c.OutOrStdout(), all, keep)
	}
	return c
}

// printSearch prints the runs that did not recover within emulator.RecoveryLimit, and a summary.
func printSearch(w io.Writer, all []*emulator.SearchResult, keep string) error {
	slices.SortStableFunc(all, func(a, b *emulator.SearchResult) int { return int(b.RecoveryTime - a.RecoveryTime) })
	var errs []error
	unrecovered, violating := 0, 0
	for _, h := range all {
		if len(h.ViolationTexts) > 0 {
			violating++
			fmt.Fprintf(w, "seed %d: RULES BROKEN: %s\n", h.Seed, h.ViolationTexts[0])
		}
		if h.RecoveryTime <= emulator.RecoveryLimit {
			continue
		}
		unrecovered++
		var faults []string
		for _, t := range h.Faults {
			faults = append(faults, fmt.Sprintf("%s size %.2f part %.2f from %.1f for %.1f s", t.Name, t.Size, t.Part, time.Duration(t.Start).Seconds(), time.Duration(t.Duration).Seconds()))
		}
		recovered := fmt.Sprintf("recovered after %v", h.RecoveryTime.Round(time.Millisecond))
		if h.NotRecovered {
			recovered = "not recovered by the end"
		}
		fmt.Fprintf(w, "seed %d: %s; goodput %.3f; %s\n", h.Seed, recovered, h.Goodput, strings.Join(faults, ", "))
		if keep != "" {
			errs = append(errs, saveScenario(keep, h))
		}
	}
	slices.Reverse(all)
	fmt.Fprintf(w, "%d runs: recovered after %v in the median, %v at the 90th percentile, %v at most; %d not within %v\n",
		len(all), all[len(all)/2].RecoveryTime.Round(time.Millisecond), all[len(all)*9/10].RecoveryTime.Round(time.Millisecond), all[len(all)-1].RecoveryTime.Round(time.Millisecond), unrecovered, emulator.RecoveryLimit)
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if violating > 0 {
		return cli.ExitError(statusRuleBroken, "a rule was broken in %d runs", violating)
	}
	return nil
}

// saveScenario writes the scenario of a run into a folder.
func saveScenario(dir string, h *emulator.SearchResult) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--keep: %w", err)
	}
	return writeFileAtomically(filepath.Join(dir, h.Scenario.Name+".toml"), func(w io.Writer) error { return toml.NewEncoder(w).Encode(h.Scenario) })
}
