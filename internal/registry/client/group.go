package client

import (
	"context"
	"net/http"

	"barleywick/internal/registry"
)

// Status returns the status of one replica: of the first that answers.
func (c *Client) Status(ctx context.Context) (registry.StatusResponse, error) {
	return request[registry.StatusResponse](ctx, c, http.MethodGet, "status", nil)
}

// Statuses returns the status of every replica that the group has now. Replicas that do
// not answer, or are not ready, are left out; all reports whether none was.
func (c *Client) Statuses(ctx context.Context) (statuses []registry.StatusResponse, all bool) {
	first, err := c.Status(ctx)
	if err != nil {
		return nil, false
	}
	all = len(first.Replicas) > 0
	for _, replica := range first.Replicas {
		var status registry.StatusResponse
		call := apiCall{method: http.MethodGet, path: "status", response: &status}
		if _, err := c.callReplica(ctx, replica.HTTP, call); err != nil || !status.Ready {
			all = false
			continue
		}
		statuses = append(statuses, status)
	}
	return statuses, all
}

// Backup returns the registry's contents. The read is linearizable.
func (c *Client) Backup(ctx context.Context) ([]byte, error) {
	return request[rawJSON](ctx, c, http.MethodGet, "backup?linearizable=1", nil)
}

// Restore replaces the registry's contents by those of a backup.
func (c *Client) Restore(ctx context.Context, backup []byte) error {
	return c.call(ctx, http.MethodPost, "restore", rawJSON(backup), nil)
}

// rawJSON is JSON that is sent and received as it is.
type rawJSON []byte

// MarshalJSON returns the text.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

// UnmarshalJSON keeps a copy of the text.
func (r *rawJSON) UnmarshalJSON(text []byte) error {
	*r = append((*r)[:0], text...)
	return nil
}
