package client

import (
	"context"
	"net/http"
	"net/url"

	"barleywick/internal/registry"
)

// Register registers an instance or changes its registration.
func (c *Client) Register(ctx context.Context, r registry.RegisterRequest) (registry.WriteResponse, error) {
	return request[registry.WriteResponse](ctx, c, http.MethodPut, "instances/"+url.PathEscape(r.Instance.Host), r)
}

// RenewSession renews an instance's session.
func (c *Client) RenewSession(ctx context.Context, host, session string) error {
	return c.call(ctx, http.MethodPost, "instances/"+url.PathEscape(host)+"/renew", registry.RenewRequest{Session: session}, nil)
}

// Remove removes an instance; if a session is given, only if the instance has that session.
func (c *Client) Remove(ctx context.Context, host, session string) error {
	return c.call(ctx, http.MethodDelete, "instances/"+url.PathEscape(host)+"?session="+url.QueryEscape(session), nil, nil)
}

// Mark sets or clears the drain marks of all the hosts or, on an error, of none.
func (c *Client) Mark(ctx context.Context, m registry.MarkRequest) (registry.WriteResponse, error) {
	return request[registry.WriteResponse](ctx, c, http.MethodPost, "marks", m)
}

// Registrations returns all registrations. The read is linearizable.
func (c *Client) Registrations(ctx context.Context) (registry.RegistrationsResponse, error) {
	return request[registry.RegistrationsResponse](ctx, c, http.MethodGet, "instances?linearizable=1", nil)
}
