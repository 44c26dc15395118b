package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"barleywick/internal/registry"
)

// Acquire claims a lease, or queues the claim. It is idempotent for the same claim.
func (c *Client) Acquire(ctx context.Context, name string, r registry.AcquireRequest) (registry.ClaimStatus, error) {
	return request[registry.ClaimStatus](ctx, c, http.MethodPost, "leases/"+url.PathEscape(name)+"/acquire", r)
}

// RenewClaims renews claims and returns their statuses, in the order of the request.
func (c *Client) RenewClaims(ctx context.Context, r registry.RenewClaimsRequest) (registry.RenewClaimsResponse, error) {
	renewed, err := request[registry.RenewClaimsResponse](ctx, c, http.MethodPost, "renewals", r)
	if err == nil && len(renewed.Claims) != len(r.Claims) {
		return renewed, fmt.Errorf("registry: response has %d claim statuses, want %d", len(renewed.Claims), len(r.Claims))
	}
	return renewed, err
}

// Release ends a held or queued claim.
func (c *Client) Release(ctx context.Context, name string, r registry.ReleaseRequest) error {
	return c.call(ctx, http.MethodPost, "leases/"+url.PathEscape(name)+"/release", r, nil)
}

// RequestYield asks the holder of a lease to yield it, or pauses or resumes the lease.
func (c *Client) RequestYield(ctx context.Context, name string, r registry.YieldRequest) error {
	return c.call(ctx, http.MethodPost, "leases/"+url.PathEscape(name)+"/ask", r, nil)
}

// Leases waits until the leases are at a later version than after, for at most the given
// time, and returns all leases. They may be slightly out of date.
func (c *Client) Leases(ctx context.Context, after uint64, wait time.Duration) (registry.LeasesResponse, error) {
	return request[registry.LeasesResponse](ctx, c, http.MethodGet, "leases?"+waitQuery(after, wait), nil)
}

// waitQuery returns the query of a call that waits for a version later than after.
func waitQuery(after uint64, wait time.Duration) string {
	return fmt.Sprintf("after=%d&wait_ms=%d", after, wait.Milliseconds())
}
