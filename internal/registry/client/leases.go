package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"barleywick/internal/registry"
)

// Acquire claims a lease, or queues for it. It may be called again with the same claim,
// which is carried out once.
func (c *Client) Acquire(ctx context.Context, name string, r registry.AcquireRequest) (registry.ClaimStatus, error) {
	return request[registry.ClaimStatus](ctx, c, http.MethodPost, "leases/"+url.PathEscape(name)+"/acquire", r)
}

// RenewClaims renews claims and returns how each stands, in the order of the request.
func (c *Client) RenewClaims(ctx context.Context, r registry.RenewClaimsRequest) (registry.RenewClaimsResponse, error) {
	renewed, err := request[registry.RenewClaimsResponse](ctx, c, http.MethodPost, "renewals", r)
	if err == nil && len(renewed.Claims) != len(r.Claims) {
		return renewed, fmt.Errorf("registry: %d claims answered of %d", len(renewed.Claims), len(r.Claims))
	}
	return renewed, err
}

// Release ends a claim, held or queued.
func (c *Client) Release(ctx context.Context, name string, r registry.ReleaseRequest) error {
	return c.call(ctx, http.MethodPost, "leases/"+url.PathEscape(name)+"/release", r, nil)
}

// RequestYield asks the holder of a lease to yield it, or pauses the lease.
func (c *Client) RequestYield(ctx context.Context, name string, r registry.YieldRequest) error {
	return c.call(ctx, http.MethodPost, "leases/"+url.PathEscape(name)+"/ask", r, nil)
}

// Leases returns all leases as soon as they have changed after a version, or when the wait
// is over. They may be a moment old.
func (c *Client) Leases(ctx context.Context, after uint64, wait time.Duration) (registry.LeasesResponse, error) {
	return request[registry.LeasesResponse](ctx, c, http.MethodGet, "leases?"+waitQuery(after, wait), nil)
}

// waitQuery is the query of a call that waits for a version after one.
func waitQuery(after uint64, wait time.Duration) string {
	return fmt.Sprintf("after=%d&wait_ms=%d", after, wait.Milliseconds())
}
