package client

import (
	"context"
	"net/http"

	"barleywick/internal/registry"
)

// Status returns what one replica says of itself, the one that answers first.
func (c *Client) Status(ctx context.Context) (registry.StatusResponse, error) {
	var s registry.StatusResponse
	err := c.call(ctx, http.MethodGet, "status", nil, &s)
	return s, err
}

// Statuses asks every replica that the group has now how it stands. Those that do
// not answer are left out, and all says whether none was.
func (c *Client) Statuses(ctx context.Context) (got []registry.StatusResponse, all bool) {
	s, err := c.Status(ctx)
	if err != nil {
		return nil, false
	}
	all = len(s.Replicas) > 0
	for _, m := range s.Replicas {
		var one registry.StatusResponse
		if _, err := c.callReplica(ctx, m.HTTP, http.MethodGet, "status", nil, &one); err != nil || !one.Ready {
			all = false
			continue
		}
		got = append(got, one)
	}
	return got, all
}

// Backup returns the registry's contents, as of now.
func (c *Client) Backup(ctx context.Context) ([]byte, error) {
	var text rawJSON
	err := c.call(ctx, http.MethodGet, "backup?linearizable=1", nil, &text)
	return text, err
}

// Restore puts a backup's contents in place of all there is.
func (c *Client) Restore(ctx context.Context, backup []byte) error {
	return c.call(ctx, http.MethodPost, "restore", rawJSON(backup), nil)
}

// rawJSON is a text that goes as it is.
type rawJSON []byte

func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

func (r *rawJSON) UnmarshalJSON(text []byte) error {
	*r = append((*r)[:0], text...)
	return nil
}
