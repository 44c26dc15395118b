package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

// ApplyPolicyStep carries out a step of a rollout and returns the view of the member that
// it names. It may be called again: a step is carried out once.
func (c *Client) ApplyPolicyStep(ctx context.Context, step rollout.Command, fence *registry.Fence) (rollout.View, error) {
	return request[rollout.View](ctx, c, http.MethodPost, "policy", registry.PolicyRequest{Command: step, Fence: fence})
}

// PolicyView returns what a member has to act by, as soon as that has changed after a
// version, or when the wait is over. It may be a moment old.
func (c *Client) PolicyView(ctx context.Context, m rollout.Member, after uint64, wait time.Duration) (rollout.View, error) {
	path := fmt.Sprintf("policy/view?member=%s&incarnation=%d&%s", url.QueryEscape(m.Name), m.Incarnation, waitQuery(after, wait))
	return request[rollout.View](ctx, c, http.MethodGet, path, nil)
}

// PolicyStatus returns the state of the policy and its rollout, as PolicyView does.
func (c *Client) PolicyStatus(ctx context.Context, after uint64, wait time.Duration) (rollout.Status, error) {
	return request[rollout.Status](ctx, c, http.MethodGet, "policy?"+waitQuery(after, wait), nil)
}
