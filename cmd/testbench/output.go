package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"barleywick/internal/simulation/report"
)

// output names the files that results are written to besides the terminal.
type output struct{ json, html string }

// flags adds the flags --json and --html.
func (o *output) flags(c *cobra.Command) {
	c.Flags().StringVar(&o.json, "json", "", "write all figures to `FILE`")
	c.Flags().StringVar(&o.html, "html", "", "write a page with charts to `FILE`")
}

// write writes a file completely or not at all.
func write(path string, render func(io.Writer) error) (err error) {
	if path == "" {
		return nil
	}
	f, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o644))
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	defer func() { err = errors.Join(err, f.Cleanup()) }() // does nothing once the file is in its place
	if err := render(f); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// writeAll writes the figures and the page to the files that were named.
func (o output) writeAll(v any, page func() (*report.Page, error)) error {
	err := write(o.json, func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(v)
	})
	if o.html == "" {
		return err
	}
	rendered, pageErr := page()
	if pageErr != nil {
		return errors.Join(err, pageErr)
	}
	return errors.Join(err, write(o.html, rendered.Write))
}
