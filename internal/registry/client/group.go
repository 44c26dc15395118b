package client

import (
	"context"
	"net/http"

	"barleywick/internal/registry"
)

// Status returns the status of the first replica that responds.
func (c *Client) Status(ctx context.Context) (registry.StatusResponse, error) {
	return request[registry.StatusResponse](ctx, c, http.MethodGet, "status", nil)
}

// Statuses returns the status of every current replica of the group. Replicas that do not
// respond or are not ready are omitted; all reports whether none was omitted.
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

// Restore replaces the registry's contents with those of a backup.
func (c *Client) Restore(ctx context.Context, backup []byte) error {
	return c.call(ctx, http.MethodPost, "restore", rawJSON(backup), nil)
}

// rawJSON is JSON text that is sent and received unchanged.
type rawJSON []byte

// MarshalJSON returns the text unchanged.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

// UnmarshalJSON stores a copy of the text.
func (r *rawJSON) UnmarshalJSON(text []byte) error {
	*r = append((*r)[:0], text...)
	return nil
}
