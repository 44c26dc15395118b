// Testbench runs fleets in simulated time and on real sockets, injects faults, compares variants
// and writes reports. It is a program of its own, so that the sidecar stays small.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/simulation/emulator"
	"barleywick/internal/simulation/experiment"
	"barleywick/internal/simulation/report"
)

func main() {
	cli.WarnFormerProgram(os.Stderr, os.Args[0], "barleylab", "testbench")
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := cli.Run(stop, "testbench", newRoot(), os.Args[1:], os.Stdout, os.Stderr)
	done()
	os.Exit(status)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "testbench", Short: "Plays fleets of sidecars and tells what came of it",
		Long: `testbench plays fleets of sidecars, in simulated time or on real sockets, and tells what
came of it.

` + cli.Statuses + `
 3  a rule was broken
 4  cut short; what was written tells of the part that was played`,
		Example: `  testbench localfleet --html lab.html
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

// Exit statuses beside those of all our programs.
const (
	statusBroken = 3
	statusCut    = 4
)

// output is where results go besides the terminal.
type output struct{ json, html string }

func (o *output) flags(c *cobra.Command) {
	c.Flags().StringVar(&o.json, "json", "", "write all figures to `FILE`")
	c.Flags().StringVar(&o.html, "html", "", "write a page with charts to `FILE`")
}

// write writes a file whole or not at all.
func write(path string, make func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o644))
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	defer f.Cleanup()
	if err := make(f); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

func (o output) writeAll(v any, p func() (*report.Page, error)) error {
	err := write(o.json, func(w io.Writer) error { // nothing, where no file is named
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(v)
	})
	if o.html == "" {
		return err
	}
	made, pageErr := p()
	if pageErr != nil {
		return errors.Join(err, pageErr)
	}
	return errors.Join(err, write(o.html, made.Write))
}

func simulateCommand() *cobra.Command {
	var out output
	var seed uint64
	var sidecars, servers int
	var length time.Duration
	var list bool
	c := &cobra.Command{
		Use: "simulate SCENARIO", Short: "Play one day in simulated time", Args: cobra.MaximumNArgs(1),
		Long: `simulate plays one day with the real decision module of each sidecar. SCENARIO is a
name (see --list) or a file ending in .toml; docs/EMULATOR.md describes the file.`,
		Example: "  testbench simulate zone --seed 3 --html zone.html",
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "of all that is drawn: the same seed gives the same day")
	c.Flags().IntVar(&sidecars, "sidecars", emulator.Base().Sidecars, "of a scenario that has a name")
	c.Flags().IntVar(&servers, "servers", emulator.Base().Servers, "of a scenario that has a name")
	c.Flags().DurationVar(&length, "length", 0, "stretch the day to this `LENGTH`; 0: as the scenario has it")
	c.Flags().BoolVar(&list, "list", false, "list the scenarios that have a name, and the troubles")
	out.flags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		if list {
			return catalogue(c.OutOrStdout())
		}
		if len(args) == 0 {
			return cli.WrongCall("a scenario is needed; --list names them")
		}
		sc, err := scenario(args[0], sidecars, servers)
		if err != nil {
			return err
		}
		if length != 0 {
			if length < 0 {
				return cli.WrongCall("--length must not be negative")
			}
			sc.Stretch(length)
		}
		s, err := emulator.NewSim(sc, seed, emulator.Balancer)
		if err != nil {
			return err
		}
		began := time.Now()
		r, err := s.Run(c.Context())
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
		took := time.Since(began)
		fmt.Fprintln(c.OutOrStdout(), r.Line())
		account(c.OutOrStdout(), r)
		fmt.Fprintf(c.OutOrStdout(), "played in %v: %.0f requests and %.0f events a second\n", took.Round(time.Millisecond),
			float64(r.Requests)/took.Seconds(), float64(r.Events)/took.Seconds())
		if err := out.writeAll(r, func() (*report.Page, error) { return report.OfRecord(r, time.Now()) }); err != nil {
			return err
		}
		return verdict(r)
	}
	return c
}

// account tells where the worth went that was not served.
func account(w io.Writer, r *emulator.Record) {
	for _, cause := range r.Causes() {
		fmt.Fprintf(w, "  %6.2f %%  %s\n", 100*r.LostPart(cause), cause)
	}
	for _, what := range slices.Sorted(maps.Keys(r.Priced)) {
		fmt.Fprintf(w, "  %6.2f points for %s\n", 100*r.Priced[what], what)
	}
	h, seconds := r.Harm(), r.Length.Seconds()
	fmt.Fprintf(w, "  the fleet sent %.2f times for a request, %d again:", float64(h.Sends)/float64(max(1, r.Requests)), h.AgainAll())
	for _, cause := range slices.Sorted(maps.Keys(h.Again)) {
		fmt.Fprintf(w, " %d %s,", h.Again[cause], cause)
	}
	each := float64(max(1, r.Servers)) * max(1, seconds)
	fmt.Fprintf(w, " %d turned away; %.1f core seconds of work served nobody;\n  for a server and second %.1f probes (%.0f %% of them at crowded ones), %.1f handshakes (%.0f %%); %d of %d calls for the list failed\n",
		h.TurnedAway, h.Wasted, float64(h.Probes)/each, share(h.ProbesCrowded, h.Probes), float64(h.Handshakes)/each, share(h.HandshakesCrowded, h.Handshakes), h.ListFailed, h.ListCalls)
}

// share is a part in per cent.
func share(part, of int) float64 { return 100 * float64(part) / float64(max(1, of)) }

func scenario(name string, sidecars, servers int) (*emulator.Scenario, error) {
	if filepath.Ext(name) == ".toml" {
		return emulator.LoadScenario(name)
	}
	return emulator.Preset(name, sidecars, servers)
}

func catalogue(w io.Writer) error {
	var text strings.Builder
	part := func(title string, names []string, about map[string]string) {
		fmt.Fprintf(&text, "%s\n", title)
		for _, name := range names {
			fmt.Fprintf(&text, "  %-12s %s\n", name, about[name])
		}
	}
	names, about := emulator.PresetNames()
	part("scenarios", names, about)
	names, about = emulator.TroubleNames()
	part("troubles, for scenario files", names, about)
	_, err := io.WriteString(w, text.String())
	return err
}

func experimentCommand() *cobra.Command {
	var out output
	c := &cobra.Command{
		Use: "experiment FILE", Short: "Compare variants on the same days", Args: cobra.ExactArgs(1),
		Long: `experiment plays the scenarios of a file with each of its variants on the same seeds,
over all cores, and says what the variants differ by: the mean over paired days with its
95 % bootstrap interval, and plainly when no difference is shown.
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
		live := terminal(progress)
		broken := 0
		o, err := plan.Play(c.Context(), func(played, all int, r experiment.Run) {
			if len(r.Record.Broken) > 0 {
				broken++
			}
			if live {
				fmt.Fprintf(progress, "\r%d of %d days", played, all)
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
		if err := out.writeAll(o, func() (*report.Page, error) { return report.OfOutcome(o, time.Now()) }); err != nil {
			return err
		}
		switch {
		case o.Partial:
			return cli.Status(statusCut, "cut short after %d days", len(o.Runs))
		case broken > 0:
			return cli.Status(statusBroken, "a rule was broken on %d days", broken)
		}
		return nil
	}
	return c
}

// maxResult is far more than a result file has.
const maxResult = 1 << 30

func reportCommand() *cobra.Command {
	var html string
	c := &cobra.Command{
		Use: "report FILE", Short: "Write a page of results that were kept", Args: cobra.ExactArgs(1),
		Long:    "report reads what simulate or experiment wrote with --json and writes one page that needs nothing else.",
		Example: "  testbench report walls.json --html walls.html",
	}
	c.Flags().StringVar(&html, "html", "", "the page's `FILE`; FILE with .html where it is left out")
	c.RunE = func(c *cobra.Command, args []string) error {
		f, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer f.Close()
		text, err := io.ReadAll(io.LimitReader(f, maxResult))
		if err != nil {
			return fmt.Errorf("read %s: %w", args[0], err)
		}
		p, err := pageOf(text)
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		if html == "" {
			html = strings.TrimSuffix(args[0], filepath.Ext(args[0])) + ".html"
		}
		if err := write(html, p.Write); err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.OutOrStdout(), html)
		return err
	}
	return c
}

// pageOf tells an experiment's results from a day's.
func pageOf(text []byte) (*report.Page, error) {
	var kind struct {
		Runs    json.RawMessage `json:"runs"`
		Windows json.RawMessage `json:"windows"`
	}
	if err := json.Unmarshal(text, &kind); err != nil {
		return nil, err
	}
	switch {
	case kind.Runs != nil:
		o := new(experiment.Outcome)
		if err := json.Unmarshal(text, o); err != nil {
			return nil, err
		}
		for i, r := range o.Runs {
			if r.Record == nil {
				return nil, fmt.Errorf("runs[%d] has no record", i)
			}
		}
		return report.OfOutcome(o, time.Now())
	case kind.Windows != nil:
		r := new(emulator.Record)
		if err := json.Unmarshal(text, r); err != nil {
			return nil, err
		}
		if math.IsNaN(r.Length.Seconds()) || r.Length <= 0 {
			return nil, errors.New("length_ns must be above 0")
		}
		return report.OfRecord(r, time.Now())
	}
	return nil, errors.New("these are no results of simulate or experiment")
}
