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

// chaosCommand returns the command chaos.
func chaosCommand() *cobra.Command {
	var o chaostest.Options
	var schedule, out, programs string
	var shrink int
	var quiet bool
	c := &cobra.Command{
		Use: "chaos", Short: "Inject faults into a whole fleet of real processes, and check every invariant", Args: cli.NoArgs,
		Long: `chaos starts replicas of the registry, controllers with all their tasks, and sidecars under
load, with a relay for every link between two processes, and injects faults for the given
time: process and network faults, up to three at once, while operators change policies, drain
machines, hand tasks over and write records. Invariants are checked during the run and after
the last fault (docs/TESTING.md). All processes that it starts end with it. By default
the programs are those in testbench's folder.

` + cli.StatusHelp + `
 3  an invariant was broken`,
		Example: "  testbench chaos --for 20m --seed 7\n  testbench chaos --schedule '1.5s cut k1 for 3s' --seed 7",
	}
	f := c.Flags()
	f.DurationVar(&o.Duration, "for", 2*time.Minute, "how long faults are injected")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the faults and the operators' actions")
	f.IntVar(&o.Controllers, "controllers", 3, "number of controllers")
	f.IntVar(&o.Controllers, "keepers", 3, "number of controllers")
	if err := f.MarkDeprecated("keepers", "use --controllers"); err != nil {
		panic(err) // the flag is defined on the line before
	}
	f.IntVar(&o.Sidecars, "sidecars", 24, "number of sidecars under load")
	f.IntVar(&o.Servers, "servers", 16, "number of booking servers")
	f.StringVar(&schedule, "schedule", "", "inject these faults, in the format of a report, instead of random ones")
	f.StringVar(&out, "json", "", "write the report to `FILE`")
	f.StringVar(&programs, "programs", "", "the `FOLDER` of the programs (default: testbench's)")
	f.IntVar(&shrink, "shrink", 0, "if an invariant is broken, reduce the schedule in at most this many further runs")
	f.BoolVar(&quiet, "quiet", false, "print only the outcome, not the timeline")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := o.Check(); err != nil {
			return cli.UsageError("%v", err)
		}
		var err error
		if o.Schedule, err = faultinjection.ParseSchedule(schedule); err != nil {
			return cli.UsageError("--schedule: %v", err)
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

// runChaos runs a chaos test and writes its report. If an invariant was broken, it shrinks the schedule.
func runChaos(c *cobra.Command, o chaostest.Options, out string, shrink int) error {
	report, err := chaostest.Run(c.Context(), o)
	if report != nil {
		printChaosReport(c.OutOrStdout(), report)
		err = errors.Join(err, writeFileAtomically(out, func(w io.Writer) error {
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
	minimal := o.FaultSchedule()
	if shrink > 0 {
		minimal = faultinjection.Shrink(minimal, shrink, func(part faultinjection.Schedule) bool {
			reduced := o
			reduced.Schedule, reduced.OnEvent = part, nil
			rerun, err := chaostest.Run(c.Context(), reduced)
			return len(part) > 0 && err == nil && len(rerun.Violations) > 0
		})
	}
	return cli.ExitError(statusRuleBroken, "%d invariants were broken, the first: %s; to replay it: testbench chaos --seed %d --schedule '%v'",
		len(report.Violations), report.Violations[0], o.Seed, minimal)
}

// command returns the command that starts a program with its configuration.
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
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", r.Counts[name], name))
	}
	fmt.Fprintf(w, "seed %d, %v: %s\n", r.Seed, r.Took.Round(time.Second), strings.Join(parts, ", "))
	for _, b := range r.Violations {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}
