package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// FetchView asks a member for its view, at a URL; what is to be forgotten may be empty.
func FetchView(ctx context.Context, c *http.Client, url, forget string) (a ViewResponse, err error) {
	method := http.MethodGet
	if forget != "" {
		method, url = http.MethodPost, url+"?forget="+forget
	}
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return a, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return a, err
	case resp.StatusCode != http.StatusOK:
		return a, fmt.Errorf("%s answers %d: %.200s", url, resp.StatusCode, text)
	}
	if err := json.Unmarshal(text, &a); err != nil {
		return a, fmt.Errorf("%s: %w", url, err)
	}
	return a, nil
}

// SeedsFromViews finds where members listen by asking some for their views, the first that answers.
func SeedsFromViews(c *http.Client, urls []string) func(ctx context.Context) ([]string, error) {
	return func(ctx context.Context) (addrs []string, err error) {
		for _, url := range urls {
			var a ViewResponse
			if a, err = FetchView(ctx, c, url, ""); err != nil {
				continue
			}
			for _, m := range a.Members {
				if m.GossipAddr != "" && m.Status.CountsAsPresent() {
					addrs = append(addrs, m.GossipAddr)
				}
			}
			return addrs[:min(len(addrs), MaxSeeds)], nil
		}
		return nil, err
	}
}
