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

// maxSchedules bounds one exploration.
const maxSchedules = 100_000_000

// modelCheckCommand makes the command modelcheck.
func modelCheckCommand() *cobra.Command {
	var seed uint64
	var schedules int
	var steer, replay, pairs bool
	var faults string
	c := &cobra.Command{
		Use: "modelcheck", Short: "Model-check registry, leases, policy, drains and overload advice together, with faults", Args: cli.NoArgs,
		Long: `modelcheck runs schedules in which the real state machines work together over a simulated
clock, network and disks, and faults are injected at their steps (docs/TESTING.md). Each
schedule follows from its seed and faults alone. One that breaks an invariant is reduced to
the faults that it needs and printed with the command that replays it; the status is 1 then.`,
		Example: "  testbench modelcheck --schedules 10000\n  testbench modelcheck --replay --seed 7 --faults 'kill leader for 2s at policy in force#1'",
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "of the first schedule; each further one has the next")
	c.Flags().IntVar(&schedules, "schedules", 1000, "how many to run")
	c.Flags().BoolVar(&steer, "steer", true, "towards the pairs of a fault and a step that were seen least")
	c.Flags().BoolVar(&pairs, "pairs", false, "list each pair of a fault and a step, and how often it was seen")
	c.Flags().BoolVar(&replay, "replay", false, "run one schedule, of --seed and --faults")
	c.Flags().StringVar(&faults, "faults", "", "with --replay: the `FAULTS`, as a failure prints them")
	c.RunE = func(c *cobra.Command, _ []string) error {
		out := c.OutOrStdout()
		if schedules < 1 || schedules > maxSchedules {
			return cli.WrongCall("--schedules is %d, it must lie between 1 and %d", schedules, maxSchedules)
		}
		if !replay && faults != "" {
			return cli.WrongCall("--faults goes with --replay")
		}
		began := time.Now()
		var seen system.Coverage
		var found *system.Failure
		if replay {
			plan, err := system.ParsePlan(faults)
			if err != nil {
				return cli.WrongCall("%v", err)
			}
			if seen, err = system.Run(seed, plan); err != nil {
				found = &system.Failure{Seed: seed, Plan: plan, Err: err, Schedules: 1}
			}
		} else if seen, found = system.Explore(seed, schedules, steer); found != nil {
			found = found.Shrink()
		}
		printCoverage(out, seen, time.Since(began), pairs)
		if found != nil {
			return errors.New(found.ReplayText())
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
		s.TimedActs, s.FencedWrites, s.Advice, s.Lists, s.AcknowledgedWrites, s.Policies, s.ServerStops, s.Requests)
	if !pairs {
		return
	}
	for _, p := range s.RarestPairs() {
		fmt.Fprintf(w, "%8d  %s during %s\n", s.Pairs[p], p.Kind, p.Step)
	}
}
