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

// maxRuns bounds the runs of one search.
const maxRuns = 100_000

// searchCommand makes the command search.
func searchCommand() *cobra.Command {
	var out output
	var seed uint64
	var days, sidecars, servers int
	var keep string
	c := &cobra.Command{
		Use: "search", Short: "Search for runs in which a fleet does not recover", Args: cli.NoArgs,
		Long: fmt.Sprintf(`search draws scenarios with a surge and a fault from seeds, runs them over all cores, and lists
those that have not recovered %v after both are over: three seconds in a row at 0.95 of the
requested weight. --keep DIR writes their scenario files, so that each can be run again.`, emulator.RecoveryLimit),
		Example: "  testbench search --sidecars 300 --servers 67 --days 200 --keep found",
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "of the first run; each further one has the next")
	c.Flags().IntVar(&days, "days", 60, "how many runs")
	c.Flags().IntVar(&sidecars, "sidecars", emulator.DefaultScenario().Sidecars, "in each")
	c.Flags().IntVar(&servers, "servers", emulator.DefaultScenario().Servers, "in each")
	c.Flags().StringVar(&keep, "keep", "", "write the scenario of each run that was found into `DIR`")
	c.Flags().StringVar(&out.json, "json", "", "write all runs to `FILE`")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if days < 1 || days > maxRuns {
			return cli.WrongCall("--days is %d, it must lie between 1 and %d", days, maxRuns)
		}
		if _, _, err := emulator.SearchScenario(seed, sidecars, servers); err != nil {
			return cli.WrongCall("%v", err)
		}
		all := make([]*emulator.SearchResult, days)
		play, ctx := errgroup.WithContext(c.Context())
		play.SetLimit(runtime.GOMAXPROCS(0))
		for i := range all {
			play.Go(func() (err error) {
				all[i], err = emulator.RunSearch(ctx, seed+uint64(i), sidecars, servers, emulator.NewBalancer)
				return err
			})
		}
		if err := play.Wait(); err != nil {
			return err
		}
		if err := out.writeAll(all, nil); err != nil {
			return err
		}
		return printSearch(c.OutOrStdout(), all, keep)
	}
	return c
}

// printSearch prints the runs that did not recover in time, and a summary.
func printSearch(w io.Writer, all []*emulator.SearchResult, keep string) error {
	slices.SortStableFunc(all, func(a, b *emulator.SearchResult) int { return int(b.RecoveryTime - a.RecoveryTime) })
	var errs []error
	found, broken := 0, 0
	for _, h := range all {
		if len(h.ViolationTexts) > 0 {
			broken++
			fmt.Fprintf(w, "seed %d: RULES BROKEN: %s\n", h.Seed, h.ViolationTexts[0])
		}
		if h.RecoveryTime <= emulator.RecoveryLimit {
			continue
		}
		found++
		var faults []string
		for _, t := range h.Faults {
			faults = append(faults, fmt.Sprintf("%s size %.2f part %.2f from %.1f for %.1f s", t.Name, t.Size, t.Part, time.Duration(t.Start).Seconds(), time.Duration(t.Duration).Seconds()))
		}
		recovered := fmt.Sprintf("back after %v", h.RecoveryTime.Round(time.Millisecond))
		if h.NotRecovered {
			recovered = "not back to the end"
		}
		fmt.Fprintf(w, "seed %d: %s; goodput %.3f; %s\n", h.Seed, recovered, h.Goodput, strings.Join(faults, ", "))
		if keep != "" {
			errs = append(errs, saveScenario(keep, h))
		}
	}
	slices.Reverse(all)
	fmt.Fprintf(w, "%d days: back after %v in the median, %v on 90 of 100, %v at most; %d not within %v\n",
		len(all), all[len(all)/2].RecoveryTime.Round(time.Millisecond), all[len(all)*9/10].RecoveryTime.Round(time.Millisecond), all[len(all)-1].RecoveryTime.Round(time.Millisecond), found, emulator.RecoveryLimit)
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if broken > 0 {
		return cli.ExitError(statusRuleBroken, "a rule was broken in %d runs", broken)
	}
	return nil
}

// saveScenario writes the scenario of a run into a folder.
func saveScenario(dir string, h *emulator.SearchResult) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("keep: %w", err)
	}
	return write(filepath.Join(dir, h.Scenario.Name+".toml"), func(w io.Writer) error { return toml.NewEncoder(w).Encode(h.Scenario) })
}
