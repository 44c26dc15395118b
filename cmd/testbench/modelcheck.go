package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/testing/modelcheck/system"
)

// maxSchedules limits the schedules of one run.
const maxSchedules = 100_000_000

// modelCheckCommand returns the command modelcheck.
func modelCheckCommand() *cobra.Command {
	var seed uint64
	var schedules int
	var steer, replay, pairs bool
	var faults string
	c := &cobra.Command{
		Use: "modelcheck", Short: "Model-check registry, leases, policy, drains and overload advice together, with faults", Args: cli.NoArgs,
		Long: `modelcheck runs schedules in which the real state machines work together over a simulated
clock, network and disks, and faults are injected at their steps (docs/TESTING.md). A
schedule is determined by its seed and faults. One that breaks an invariant is reduced to the
faults that it needs and printed with the command that replays it; the exit status is then 1.`,
		Example: "  testbench modelcheck --schedules 10000\n  testbench modelcheck --replay --seed 7 --faults 'kill leader for 2s at policy in force#1'",
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first schedule, incremented for each further one")
	c.Flags().IntVar(&schedules, "schedules", 1000, "number of schedules")
	c.Flags().BoolVar(&steer, "steer", true, "prefer the pairs of a fault and a step that were seen least")
	c.Flags().BoolVar(&pairs, "pairs", false, "list each pair of a fault and a step, and how often it was seen")
	c.Flags().BoolVar(&replay, "replay", false, "run one schedule, given by --seed and --faults")
	c.Flags().StringVar(&faults, "faults", "", "with --replay: the `FAULTS`, as a failure prints them")
	c.RunE = func(c *cobra.Command, _ []string) error {
		out := c.OutOrStdout()
		if schedules < 1 || schedules > maxSchedules {
			return cli.UsageError("--schedules is %d, it must lie between 1 and %d", schedules, maxSchedules)
		}
		if !replay && faults != "" {
			return cli.UsageError("--faults is only valid with --replay")
		}
		began := time.Now()
		var coverage system.Coverage
		var failure *system.Failure
		if replay {
			plan, err := system.ParsePlan(faults)
			if err != nil {
				return cli.UsageError("%v", err)
			}
			if coverage, err = system.Run(seed, plan); err != nil {
				failure = &system.Failure{Seed: seed, Plan: plan, Err: err, Schedules: 1}
			}
		} else if coverage, failure = system.Explore(seed, schedules, steer); failure != nil {
			failure = failure.Shrink()
		}
		printCoverage(out, coverage, time.Since(began), pairs)
		if failure != nil {
			return errors.New(failure.ReplayText())
		}
		return nil
	}
	return c
}

// printCoverage prints what the schedules covered and what was checked.
func printCoverage(w io.Writer, s system.Coverage, took time.Duration, pairs bool) {
	fmt.Fprintf(w, "%d schedules, %.0f a second: %d events, %d faults; %d of %d pairs of a fault and a step\n",
		s.Schedules, float64(s.Schedules)/took.Seconds(), s.Events, s.Faults, len(s.Pairs), s.MaxPairs())
	fmt.Fprintf(w, "checked: %d timed acts, %d fenced writes, %d overload advice, %d lists, %d acknowledged writes, %d policies in force, %d stops of servers, %d requests\n",
		s.TimedActs, s.FencedWrites, s.Advice, s.ListComparisons, s.AcknowledgedWrites, s.CommittedPolicies, s.ServerStops, s.Requests)
	if !pairs {
		return
	}
	for _, p := range s.RarestPairs() {
		fmt.Fprintf(w, "%8d  %s during %s\n", s.Pairs[p], p.Kind, p.Step)
	}
}
