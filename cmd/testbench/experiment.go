package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/simulation/experiment"
	"barleywick/internal/simulation/report"
)

// experimentCommand returns the command experiment.
func experimentCommand() *cobra.Command {
	var out output
	c := &cobra.Command{
		Use: "experiment FILE", Short: "Compare variants on the same scenario runs", Args: cobra.ExactArgs(1),
		Long: `experiment runs the scenarios of a file with each of its variants on the same seeds, on
all cores, and reports the differences: the mean over paired runs with its 95 % bootstrap
interval, or that no difference is shown.
docs/EXPERIMENTS.md describes the file.`,
		Example: "  testbench experiment walls.toml --json walls.json --html walls.html",
	}
	out.flags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		plan, err := experiment.Load(args[0])
		if err != nil {
			return err
		}
		progress := c.ErrOrStderr()
		live := isTerminal(progress)
		violating := 0
		o, err := plan.Run(c.Context(), func(finished, total int, r experiment.Run) {
			if len(r.Record.ViolationTexts) > 0 {
				violating++
			}
			if live {
				fmt.Fprintf(progress, "\r%d of %d runs", finished, total)
			}
		})
		if live {
			fmt.Fprintln(progress)
		}
		if err != nil {
			return err
		}
		for _, d := range o.Differences {
			fmt.Fprintln(c.OutOrStdout(), d)
		}
		if err := out.writeAll(o, func() (*report.Page, error) { return report.PageFromOutcome(o, time.Now()) }); err != nil {
			return err
		}
		switch {
		case o.Partial:
			return cli.ExitError(statusInterrupted, "interrupted after %d runs", len(o.Runs))
		case violating > 0:
			return cli.ExitError(statusRuleBroken, "a rule was broken in %d runs", violating)
		}
		return nil
	}
	return c
}
