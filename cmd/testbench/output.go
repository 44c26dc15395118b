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

// output holds the paths of the files that results are written to in addition to the terminal.
type output struct{ json, html string }

// flags adds the flags --json and --html.
func (o *output) flags(c *cobra.Command) {
	c.Flags().StringVar(&o.json, "json", "", "write all figures to `FILE`")
	c.Flags().StringVar(&o.html, "html", "", "write a page with charts to `FILE`")
}

// writeFileAtomically writes a file completely or not at all. It does nothing if path is empty.
func writeFileAtomically(path string, render func(io.Writer) error) (err error) {
	if path == "" {
		return nil
	}
	f, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o644))
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	defer func() { err = errors.Join(err, f.Cleanup()) }() // does nothing once the file has been renamed into place
	if err := render(f); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// writeAll writes the figures and the page to those files that have a path.
func (o output) writeAll(v any, page func() (*report.Page, error)) error {
	err := writeFileAtomically(o.json, func(w io.Writer) error {
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
	return errors.Join(err, writeFileAtomically(o.html, rendered.Write))
}
