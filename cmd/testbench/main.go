// Testbench runs fleets in simulated time and on real sockets, injects faults, compares variants
// and writes reports. It is a separate program to keep the sidecar small.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/shutdown"
)

// shutdownTimeout limits how long an interrupted run may take to exit: it ends the processes that it has
// started and writes its results.
const shutdownTimeout = 3 * time.Minute

func main() {
	cli.WarnFormerProgram(os.Stderr, os.Args[0], "barleylab", "testbench")
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ended := shutdown.Guard(stop, "testbench", shutdownTimeout)
	status := cli.Run(stop, "testbench", newRoot(), os.Args[1:], os.Stdout, os.Stderr)
	ended()
	done()
	os.Exit(status)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "testbench", Short: "Simulates, loads and tests fleets of sidecars",
		Long: `testbench runs fleets of sidecars, in simulated time or on real sockets, injects faults and
reports the results.

` + cli.StatusHelp + `
 3  a rule was broken
 4  interrupted; the results cover the part that was run`,
		Example: `  testbench localfleet --html fleet.html
  testbench simulate herd --sidecars 60 --servers 40 --html herd.html
  testbench experiment walls.toml --json walls.json --html walls.html
  testbench report walls.json --html walls.html`,
		Args: cli.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.AddCommand(
		simulateCommand(),
		cli.WithFormerName(localFleetCommand(), "lab"),
		experimentCommand(),
		loadCommand(),
		cli.WithFormerName(searchCommand(), "hunt"),
		membersCommand(),
		cli.WithFormerName(modelCheckCommand(), "explore"),
		cli.WithFormerName(chaosCommand(), "torture"),
		soakCommand(),
		reportCommand(),
		cli.VersionCommand("testbench"),
	)
	return root
}

// Exit statuses in addition to those that all programs have.
const (
	statusRuleBroken  = 3
	statusInterrupted = 4
)
