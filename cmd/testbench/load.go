package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"barleywick/internal/cli"
	"barleywick/internal/testing/loadgen"
)

// isTerminal reports whether a writer is a terminal, on which a line can be overwritten.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// defaultMaxOpen is far above what one sidecar admits.
const defaultMaxOpen = 10_000

// loadCommand returns the command load.
func loadCommand() *cobra.Command {
	p := &loadgen.Plan{}
	var out output
	var classes []string
	var recorded string
	c := &cobra.Command{
		Use: "load ADDRESS...", Short: "Put an open-loop load on sidecars", Args: cobra.MinimumNArgs(1),
		Long: `load sends requests to sidecars when they are due, whether or not earlier ones have ended.
Latencies count from when a request was due, so that a stall of a target raises the latency
of all requests that became due during it. A request that is due while too many are open is
not sent and is counted as unsent.`,
		Example: `  testbench load 127.0.0.1:7070 --rate 200 --length 30s --class hold-slot:keyed:3 --class confirm-visit:unsafe:2 --tenants a,b
  testbench load 127.0.0.1:7070 --class read:safe --arrivals recorded --recorded times.txt --json out.json`,
	}
	f := c.Flags()
	f.Float64Var(&p.Rate, "rate", 100, "`REQUESTS` per second, over all addresses")
	f.StringVar(&p.Arrivals, "arrivals", "poisson", "poisson, constant or recorded")
	f.StringVar(&recorded, "recorded", "", "`FILE` of times in seconds, one on each line")
	f.DurationVar(&p.Length, "length", 10*time.Second, "duration of the load")
	f.DurationVar(&p.Timeout, "timeout", 2*time.Second, "how long a client waits for a response")
	f.StringArrayVar(&classes, "class", nil, "`NAME:EFFECT[:SHARE]`, with safe, keyed or unsafe; at least one")
	f.StringSliceVar(&p.Tenants, "tenants", nil, "tenant names, evenly distributed")
	f.IntVar(&p.Keys, "keys", 0, "number of different affinity keys; 0: none")
	f.IntVar(&p.Body, "body", 0, "size of each request body in `BYTES`")
	f.IntVar(&p.MaxOpen, "open", defaultMaxOpen, "maximum number of requests open at once")
	f.Uint64Var(&p.Seed, "seed", 1, "seed of the arrival times, classes and keys")
	f.StringVar(&out.json, "json", "", "write all figures to `FILE`")
	c.RunE = func(c *cobra.Command, args []string) error {
		p.Targets = args
		if err := completePlan(p, classes, recorded); err != nil {
			return err
		}
		if err := p.Check(); err != nil {
			return cli.UsageError("%w", err)
		}
		live := c.ErrOrStderr()
		r, err := loadgen.Run(c.Context(), p, func(r loadgen.Result) {
			if isTerminal(live) {
				fmt.Fprintf(live, "\r\x1b[K%.0f s: %d due, %d served, %d refused, %d lost, p99 %.0f ms", r.LengthS, r.Due, r.Outcomes["served"], r.Outcomes["refused"], r.Outcomes["lost"], r.Served.P99)
			}
		})
		if isTerminal(live) {
			fmt.Fprintln(live)
		}
		if err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), r.Line())
		for _, e := range r.Errors {
			fmt.Fprintln(c.OutOrStdout(), " ", e)
		}
		if err := out.writeAll(r, nil); err != nil {
			return err
		}
		if r.Partial {
			return cli.ExitError(statusInterrupted, "interrupted")
		}
		return nil
	}
	return c
}

// completePlan adds the classes and the recorded arrivals to a plan.
func completePlan(p *loadgen.Plan, classes []string, recorded string) error {
	for _, text := range classes {
		class, err := parseClass(text)
		if err != nil {
			return err
		}
		p.Classes = append(p.Classes, class)
	}
	if recorded == "" {
		return nil
	}
	file, err := os.Open(recorded)
	if err != nil {
		return err
	}
	defer file.Close()
	if p.Recorded, err = loadgen.ReadArrivals(file); err != nil {
		return fmt.Errorf("%s: %w", recorded, err)
	}
	return nil
}

// parseClass parses NAME:EFFECT[:SHARE].
func parseClass(text string) (loadgen.Class, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 2 || len(parts) > 3 {
		return loadgen.Class{}, cli.UsageError("--class %q: NAME:EFFECT or NAME:EFFECT:SHARE is needed", text)
	}
	c := loadgen.Class{Name: parts[0], Idempotency: loadgen.Idempotency(parts[1]), Share: 1}
	if len(parts) == 3 {
		share, err := strconv.ParseFloat(parts[2], 64)
		if err != nil {
			return c, cli.UsageError("--class %q: the share is not a number", text)
		}
		c.Share = share
	}
	return c, nil
}
