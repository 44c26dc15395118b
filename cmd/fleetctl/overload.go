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
		Use: "overload", Short: "Show how much load is shed, and why", Args: cli.NoArgs,
		Long: `overload asks the controller that holds the overload task (docs/OVERLOAD.md) for its advice:
how many sidecars report to it, what share of their latency objective responses take, and
for each tenant the request rate and which part of it is admitted.`,
		Example: "  fleetctl overload\n  fleetctl overload --watch --json",
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := a.client()
			if err != nil {
				return err
			}
			defer r.Close()
			for {
				advice, err := fetchAdvice(c.Context(), r)
				switch {
				case c.Context().Err() != nil && watch:
					return nil
				case err != nil && !watch:
					return err
				case err != nil:
					fmt.Fprintln(a.out, err)
				default:
					if err := a.showAdvice(advice, asJSON); err != nil {
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
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per line")
	c.Flags().BoolVar(&watch, "watch", false, "refresh once a second until interrupted")
	return c
}

// fetchAdvice requests the current overload advice from the controller that holds the overload task.
func fetchAdvice(ctx context.Context, r *client.Client) (advice overload.Advice, err error) {
	rec, err := r.Record(ctx, overload.RecordKey)
	if errors.Is(err, registry.ErrNotFound) {
		return advice, errors.New("no controller has held the task overload yet: is [overload] in a controller's file?")
	} else if err != nil {
		return advice, err
	}
	var location overload.Location
	if err := json.Unmarshal(rec.Value, &location); err != nil {
		return advice, fmt.Errorf("record %s: %w", overload.RecordKey, err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+location.Address+overload.Path, nil)
	if err != nil {
		return advice, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return advice, fmt.Errorf("request overload advice: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, overload.MaxMessageBytes))
	switch {
	case err != nil:
		return advice, fmt.Errorf("read overload advice: %w", err)
	case resp.StatusCode != http.StatusOK:
		return advice, fmt.Errorf("%s responded with status %d: %.200s", location.Address, resp.StatusCode, text)
	}
	return advice, json.Unmarshal(text, &advice)
}

// showAdvice prints overload advice as a table or as JSON.
func (a *app) showAdvice(advice overload.Advice, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(a.out).Encode(advice)
	}
	of := ""
	if advice.Expected > 0 {
		of = fmt.Sprintf(" of %d", advice.Expected)
	}
	fmt.Fprintf(a.out, "%s: %d%s sidecars, answers take %.2f of their latency objectives (token %d, advice %d)\n", advice.Fleet, advice.Sidecars, of, advice.Congestion, advice.Token, advice.Number)
	f := advice.Rates
	fmt.Fprintf(a.out, "a second: %.1f requested, %.1f served in time, %.1f late, %.1f refused, %.1f failed\n", f.Requests, f.InTime, f.Late, f.Refused, f.Failed)
	if len(advice.Tenants) == 0 {
		fmt.Fprintln(a.out, "no tenant is limited")
		return nil
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TENANT\tREQUESTED/S\tALLOWED/S\tADMITTED")
	for _, p := range advice.Tenants {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f %%\n", p.Tenant, p.RequestRate, p.AllowedRate, 100*p.AdmitFraction)
	}
	return w.Flush()
}
