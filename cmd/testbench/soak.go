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
	"barleywick/internal/testing/soaktest"
)

// soakProgram is the file name of the sidecar's program.
const soakProgram = "sidecar"

// soakCommand returns the command soak.
func soakCommand() *cobra.Command {
	var o soaktest.Options
	var seeds int
	var out, programs string
	var quiet bool
	c := &cobra.Command{
		Use: "soak", Short: "Run sidecars under random faults that overlap, and check the rules on every request", Args: cli.NoArgs,
		Long: `soak starts sidecar processes, booking servers and a discovery service on loopback,
lets clients send requests, and draws faults from the seed: shutdowns with a kill after the
protocol's deadline, kills, pauses, new configurations, drains, outages of discovery, and
booking servers that hang, answer twice, reset, refuse or close. Every request is followed to
its end and checked against the rules (docs/TESTING.md). All processes that it starts end with it.

` + cli.StatusHelp + `
 3  an invariant was broken`,
		Example: "  testbench soak --seed 7 --sidecars 16 --for 30s\n  testbench soak --seed 1 --seeds 10 --quiet",
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the clients, booking servers and faults")
	f.IntVar(&seeds, "seeds", 1, "number of seeds to run one after the other, from --seed on")
	f.IntVar(&o.Sidecars, "sidecars", 16, "number of sidecar processes")
	f.IntVar(&o.Clients, "clients", 3, "number of clients per sidecar")
	f.IntVar(&o.Servers, "servers", 6, "number of booking servers")
	f.DurationVar(&o.Duration, "for", 15*time.Second, "how long faults are injected")
	f.BoolVar(&o.Misuse, "misuse", true, "let clients misuse some sidecars, with odd seeds")
	f.StringVar(&out, "json", "", "write the reports to `FILE`")
	f.StringVar(&programs, "programs", "", "the `FOLDER` of the sidecar's program (default: testbench's)")
	f.BoolVar(&quiet, "quiet", false, "print only the outcome, not the timeline")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := o.Check(); err != nil {
			return cli.UsageError("%v", err)
		}
		if seeds < 1 {
			return cli.UsageError("--seeds is %d, at least 1 is needed", seeds)
		}
		program, err := findProgram(programs, soakProgram)
		if err != nil {
			return err
		}
		o.CheckMemory = true
		o.Command = func(config string) *exec.Cmd {
			cmd := exec.Command(program)
			cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
			return cmd
		}
		if !quiet {
			o.OnEvent = func(line string) { fmt.Fprintln(c.OutOrStdout(), line) }
		}
		return runSoaks(c, o, seeds, out)
	}
	return c
}

// findProgram returns the path of a program in the folder, which defaults to that of this program.
func findProgram(folder, name string) (string, error) {
	if folder == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("find the programs' folder: %w", err)
		}
		folder = filepath.Dir(self)
	}
	path := filepath.Join(folder, name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("--programs: %w", err)
	}
	return path, nil
}

// runSoaks runs one seed after the other and prints each report.
func runSoaks(c *cobra.Command, o soaktest.Options, seeds int, out string) error {
	var reports []*soaktest.Report
	violations := 0
	for range seeds {
		report, err := soaktest.Run(c.Context(), o)
		if report != nil {
			reports = append(reports, report)
			violations += report.ViolationCount
			printSoakReport(c.OutOrStdout(), report)
		}
		if err != nil {
			return err
		}
		o.Seed++
	}
	err := writeFileAtomically(out, func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(reports)
	})
	if violations > 0 {
		err = errors.Join(err, cli.ExitError(statusRuleBroken, "invariants were broken %d times in %d runs", violations, len(reports)))
	}
	return err
}

func printSoakReport(w io.Writer, r *soaktest.Report) {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", r.Counts[name], name))
	}
	fmt.Fprintf(w, "seed %d, %v, stalled for %v at most: %s\n", r.Seed, r.Duration.Round(time.Second), r.LongestStall.Round(time.Millisecond), strings.Join(parts, ", "))
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "BROKEN:", violation)
	}
	fmt.Fprintf(w, "seed %d: %d invariants broken\n", r.Seed, r.ViolationCount)
}
