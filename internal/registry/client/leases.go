package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"barleywick/internal/registry"
)

// Acquire asks for a lease, or for a place in its line. It may be called again with
// the same claim, which is carried out once.
func (c *Client) Acquire(ctx context.Context, name string, r registry.AcquireRequest) (registry.ClaimStatus, error) {
	var a registry.ClaimStatus
	err := c.call(ctx, http.MethodPost, "leases/"+url.PathEscape(name)+"/acquire", r, &a)
	return a, err
}

// RenewClaims gives a sign of life for claims, and says how each stands.
func (c *Client) RenewClaims(ctx context.Context, r registry.RenewClaimsRequest) (registry.RenewClaimsResponse, error) {
	var a registry.RenewClaimsResponse
	err := c.call(ctx, http.MethodPost, "renewals", r, &a)
	if err == nil && len(a.Claims) != len(r.Claims) {
		return a, fmt.Errorf("registry: %d claims answered of %d", len(a.Claims), len(r.Claims))
	}
	return a, err
}

// Release gives a claim up.
func (c *Client) Release(ctx context.Context, name string, r registry.ReleaseRequest) error {
	return c.call(ctx, http.MethodPost, "leases/"+url.PathEscape(name)+"/release", r, nil)
}

// RequestYield tells a lease's holder what an operator wants.
func (c *Client) RequestYield(ctx context.Context, name string, r registry.YieldRequest) error {
	return c.call(ctx, http.MethodPost, "leases/"+url.PathEscape(name)+"/ask", r, nil)
}

// Leases returns all leases, at the latest when they have changed after a version or
// the wait is over. They may be a moment old.
func (c *Client) Leases(ctx context.Context, after uint64, wait time.Duration) (registry.LeasesResponse, error) {
	var a registry.LeasesResponse
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("leases?after=%d&wait_ms=%d", after, wait.Milliseconds()), nil, &a)
	return a, err
}
