package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// FetchView returns the view that a member serves at a URL.
func FetchView(ctx context.Context, client *http.Client, viewURL string) (ViewResponse, error) {
	return requestView(ctx, client, http.MethodGet, viewURL)
}

// ForgetMember requests that the member that serves its view at a URL marks the unreachable members
// of a name as ended for good.
func ForgetMember(ctx context.Context, client *http.Client, viewURL, name string) error {
	_, err := requestView(ctx, client, http.MethodPost, viewURL+"?forget="+url.QueryEscape(name))
	return err
}

func requestView(ctx context.Context, client *http.Client, method, viewURL string) (view ViewResponse, err error) {
	req, err := http.NewRequestWithContext(ctx, method, viewURL, nil)
	if err != nil {
		return view, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return view, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return view, err
	}
	if resp.StatusCode != http.StatusOK {
		return view, fmt.Errorf("%s responded with status %d: %.200s", viewURL, resp.StatusCode, text)
	}
	if err := json.Unmarshal(text, &view); err != nil {
		return view, fmt.Errorf("%s: %w", viewURL, err)
	}
	return view, nil
}

// SeedsFromViews returns a function that finds addresses where members listen, in the view of the
// first URL that responds.
func SeedsFromViews(client *http.Client, urls []string) func(ctx context.Context) ([]string, error) {
	return func(ctx context.Context) ([]string, error) {
		var lastErr error
		for _, viewURL := range urls {
			view, err := FetchView(ctx, client, viewURL)
			if err != nil {
				lastErr = err
				continue
			}
			return view.seeds(), nil
		}
		return nil, lastErr
	}
}

// seeds returns the addresses where the view's present members listen, at most MaxSeeds.
func (v ViewResponse) seeds() (addresses []string) {
	for _, member := range v.Members {
		if member.GossipAddr != "" && member.Status.CountsAsPresent() {
			addresses = append(addresses, member.GossipAddr)
		}
	}
	return addresses[:min(len(addresses), MaxSeeds)]
}
