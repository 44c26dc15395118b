package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"barleywick/internal/cli"
	"barleywick/internal/overload"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

func (a *app) overload() *cobra.Command {
	var asJSON, watch bool
	c := &cobra.Command{
		Use: "overload", Short: "Tell who sheds what, and why", Args: cli.NoArgs,
		Long: `overload asks the task that gives the fleet's word on an overload (docs/OVERLOAD.md): how
many sidecars it hears, what answers take of their aims, and for each tenant what is
asked and what part of it may be tried.`,
		Example: "  fleetctl overload\n  fleetctl overload --watch --json",
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := a.client()
			if err != nil {
				return err
			}
			defer r.Close()
			for {
				word, err := wordOf(c.Context(), r)
				switch {
				case c.Context().Err() != nil && watch:
					return nil
				case err != nil && !watch:
					return err
				case err != nil:
					fmt.Fprintln(a.out, err)
				default:
					if err := a.showWord(word, asJSON); err != nil {
						return err
					}
				}
				if !watch {
					return nil
				}
				select {
				case <-time.After(overload.ReportInterval):
				case <-c.Context().Done():
					return nil
				}
			}
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "one JSON object a line")
	c.Flags().BoolVar(&watch, "watch", false, "go on once a second, until interrupted")
	return c
}

// wordOf asks the task for its word.
func wordOf(ctx context.Context, r *client.Client) (word overload.Advice, err error) {
	rec, err := r.Record(ctx, overload.RecordKey)
	if errors.Is(err, registry.ErrNotFound) {
		return word, errors.New("no keeper has held the task overload yet: is [overload] in a keeper's file?")
	} else if err != nil {
		return word, err
	}
	var place overload.Location
	if err := json.Unmarshal(rec.Value, &place); err != nil {
		return word, fmt.Errorf("record %s: %w", overload.RecordKey, err)
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+place.Address+overload.Path, nil)
	if err != nil {
		return word, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return word, fmt.Errorf("the task's holder does not answer: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, overload.MaxMessageBytes))
	switch {
	case err != nil:
		return word, fmt.Errorf("the task's holder: %w", err)
	case resp.StatusCode != http.StatusOK:
		return word, fmt.Errorf("%s answers %d: %.200s", place.Address, resp.StatusCode, text)
	}
	return word, json.Unmarshal(text, &word)
}

func (a *app) showWord(word overload.Advice, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(a.out).Encode(word)
	}
	of := ""
	if word.Expected > 0 {
		of = fmt.Sprintf(" of %d", word.Expected)
	}
	fmt.Fprintf(a.out, "%s: %d%s sidecars, answers take %.2f of their aims (token %d, word %d)\n", word.Fleet, word.Sidecars, of, word.Congestion, word.Token, word.Number)
	f := word.Rates
	fmt.Fprintf(a.out, "a second: %.1f asked, %.1f served in time, %.1f late, %.1f refused, %.1f failed\n", f.Requests, f.InTime, f.Late, f.Refused, f.Failed)
	if len(word.Tenants) == 0 {
		fmt.Fprintln(a.out, "no tenant is cut")
		return nil
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TENANT\tASKED/S\tALLOWED/S\tTRIED")
	for _, p := range word.Tenants {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f %%\n", p.Tenant, p.RequestRate, p.AllowedRate, 100*p.AdmitFraction)
	}
	return w.Flush()
}
