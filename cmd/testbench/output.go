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
