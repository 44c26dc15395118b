package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/testing/chaostest"
	"barleywick/internal/testing/faultinjection"
)

// chaosCommand makes the command chaos.
func chaosCommand() *cobra.Command {
	var o chaostest.Options
	var schedule, out, programs string
	var shrink int
	var quiet bool
	c := &cobra.Command{
		Use: "chaos", Short: "Inject faults into a whole fleet of real processes, and check every invariant", Args: cli.NoArgs,
		Long: `chaos starts replicas of the registry, controllers with all their tasks, and sidecars under
load, with a relay for every link between two, and breaks them for a time: faults of
processes and between them, up to three at once, while operators change policies,
drain machines, hand tasks over and write records. Invariants are checked meanwhile and
after the last fault (docs/TESTING.md). Everything it starts ends with
it. The programs are those beside testbench.

` + cli.StatusHelp + `
 3  an invariant was broken`,
		Example: "  testbench chaos --for 20m --seed 7\n  testbench chaos --schedule '1.5s cut k1 for 3s' --seed 7",
	}
	f := c.Flags()
	f.DurationVar(&o.Duration, "for", 2*time.Minute, "how long faults are drawn for")
	f.Uint64Var(&o.Seed, "seed", 1, "of faults and operators")
	f.IntVar(&o.Controllers, "controllers", 3, "processes that hold tasks")
	f.IntVar(&o.Controllers, "keepers", 3, "processes that hold tasks")
	if err := f.MarkDeprecated("keepers", "use --controllers"); err != nil {
		panic(err) // the flag is defined on the line before
	}
	f.IntVar(&o.Sidecars, "sidecars", 24, "under load")
	f.IntVar(&o.Servers, "servers", 16, "booking servers")
	f.StringVar(&schedule, "schedule", "", "these faults instead of those drawn, as a report has them")
	f.StringVar(&out, "json", "", "write the report to `FILE`")
	f.StringVar(&programs, "programs", "", "the `FOLDER` of the programs (default: this program's)")
	f.IntVar(&shrink, "shrink", 0, "when an invariant is broken, leave faults out in so many further runs")
	f.BoolVar(&quiet, "quiet", false, "print the outcome alone, not the timeline")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := o.Check(); err != nil {
			return cli.WrongCall("%v", err)
		}
		var err error
		if o.Schedule, err = faultinjection.ParseSchedule(schedule); err != nil {
			return cli.WrongCall("--schedule: %v", err)
		}
		for _, p := range []chaostest.Program{chaostest.Replica, chaostest.Controller, chaostest.Sidecar} {
			path, err := findProgram(programs, string(p))
			if err != nil {
				return err
			}
			programs = filepath.Dir(path)
		}
		o.Command = func(p chaostest.Program, config string) *exec.Cmd { return command(programs, p, config) }
		if !quiet {
			o.OnEvent = func(line string) { fmt.Fprintln(c.OutOrStdout(), line) }
		}
		return runChaos(c, o, out, shrink)
	}
	return c
}

// runChaos runs a chaos test, writes its report, and shrinks the schedule of one that broke an invariant.
func runChaos(c *cobra.Command, o chaostest.Options, out string, shrink int) error {
	report, err := chaostest.Run(c.Context(), o)
	if report != nil {
		printChaosReport(c.OutOrStdout(), report)
		err = errors.Join(err, write(out, func(w io.Writer) error {
			text, err := json.MarshalIndent(report, "", " ")
			if err != nil {
				return err
			}
			_, err = w.Write(text)
			return err
		}))
	}
	if err != nil || len(report.Violations) == 0 {
		return err
	}
	small := o.FaultSchedule()
	if shrink > 0 {
		small = faultinjection.Shrink(small, shrink, func(part faultinjection.Schedule) bool {
			less := o
			less.Schedule, less.OnEvent = part, nil
			again, err := chaostest.Run(c.Context(), less)
			return len(part) > 0 && err == nil && len(again.Violations) > 0
		})
	}
	return cli.ExitError(statusRuleBroken, "%d invariants were broken, the first: %s; to replay it: testbench chaos --seed %d --schedule '%v'",
		len(report.Violations), report.Violations[0], o.Seed, small)
}

// command makes the command line of a program with its configuration.
func command(folder string, p chaostest.Program, config string) *exec.Cmd {
	path := filepath.Join(folder, string(p))
	switch p {
	case chaostest.Replica:
		return exec.Command(path, "-config", config)
	case chaostest.Controller:
		return exec.Command(path, "--config", config)
	}
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	return cmd
}

// printChaosReport prints what a run observed and the invariants that were broken.
func printChaosReport(w io.Writer, r *chaostest.Report) {
	var parts []string
	for _, what := range slices.Sorted(maps.Keys(r.Counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", r.Counts[what], what))
	}
	fmt.Fprintf(w, "seed %d, %v: %s\n", r.Seed, r.Took.Round(time.Second), strings.Join(parts, ", "))
	for _, b := range r.Violations {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}
