package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/simulation/emulator"
	"barleywick/internal/simulation/experiment"
	"barleywick/internal/simulation/report"
)

// maxResultBytes bounds the size of a result file.
const maxResultBytes = 1 << 30

// reportCommand returns the command report.
func reportCommand() *cobra.Command {
	var html string
	c := &cobra.Command{
		Use: "report FILE", Short: "Render saved results as an HTML page", Args: cobra.ExactArgs(1),
		Long:    "report reads the results that simulate or experiment saved with --json and writes a self-contained HTML page.",
		Example: "  testbench report walls.json --html walls.html",
	}
	c.Flags().StringVar(&html, "html", "", "write the page to `FILE` (default: the results' path with the extension .html)")
	c.RunE = func(c *cobra.Command, args []string) error {
		f, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer f.Close()
		text, err := io.ReadAll(io.LimitReader(f, maxResultBytes))
		if err != nil {
			return fmt.Errorf("read %s: %w", args[0], err)
		}
		p, err := renderPage(text)
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		if html == "" {
			html = strings.TrimSuffix(args[0], filepath.Ext(args[0])) + ".html"
		}
		if err := writeFileAtomically(html, p.Write); err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.OutOrStdout(), html)
		return err
	}
	return c
}

// renderPage renders the results of an experiment or of a single run.
func renderPage(text []byte) (*report.Page, error) {
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
		return report.PageFromOutcome(o, time.Now())
	case kind.Windows != nil:
		r := new(emulator.Record)
		if err := json.Unmarshal(text, r); err != nil {
			return nil, err
		}
		if math.IsNaN(r.Length.Seconds()) || r.Length <= 0 {
			return nil, errors.New("length_ns must be above 0")
		}
		return report.PageFromRecord(r, time.Now())
	}
	return nil, errors.New("the file contains no results of simulate or experiment")
}
