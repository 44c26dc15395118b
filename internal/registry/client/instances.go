package client

import (
	"context"
	"net/http"
	"net/url"

	"barleywick/internal/registry"
)

// Register takes an instance in, or changes it.
func (c *Client) Register(ctx context.Context, r registry.RegisterRequest) (registry.WriteResponse, error) {
	var a registry.WriteResponse
	err := c.call(ctx, http.MethodPut, "instances/"+url.PathEscape(r.Instance.Host), r, &a)
	return a, err
}

// RenewSession keeps a session alive.
func (c *Client) RenewSession(ctx context.Context, host, session string) error {
	return c.call(ctx, http.MethodPost, "instances/"+url.PathEscape(host)+"/renew", registry.RenewRequest{Session: session}, nil)
}

// Remove takes an instance out; with a session, only while it is that session's.
func (c *Client) Remove(ctx context.Context, host, session string) error {
	return c.call(ctx, http.MethodDelete, "instances/"+url.PathEscape(host)+"?session="+url.QueryEscape(session), nil, nil)
}

// Mark marks hosts draining, or takes the marks back: all or none.
func (c *Client) Mark(ctx context.Context, m registry.MarkRequest) (registry.WriteResponse, error) {
	var a registry.WriteResponse
	err := c.call(ctx, http.MethodPost, "marks", m, &a)
	return a, err
}

// Entries returns all entries as of now, whoever led before.
func (c *Client) Registrations(ctx context.Context) (registry.RegistrationsResponse, error) {
	var a registry.RegistrationsResponse
	err := c.call(ctx, http.MethodGet, "instances?linearizable=1", nil, &a)
	return a, err
}
