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

// ApplyPolicyStep applies a step of a rollout and returns the view of the member that the
// step names. It is idempotent: a repeated step is applied once.
func (c *Client) ApplyPolicyStep(ctx context.Context, step rollout.Command, fence *registry.Fence) (rollout.View, error) {
	return request[rollout.View](ctx, c, http.MethodPost, "policy", registry.PolicyRequest{Command: step, Fence: fence})
}

// PolicyView waits until a member's view of the policy is at a later version than after,
// for at most the given time, and returns the view. It may be slightly out of date.
func (c *Client) PolicyView(ctx context.Context, m rollout.Member, after uint64, wait time.Duration) (rollout.View, error) {
	path := fmt.Sprintf("policy/view?member=%s&incarnation=%d&%s", url.QueryEscape(m.Name), m.Incarnation, waitQuery(after, wait))
	return request[rollout.View](ctx, c, http.MethodGet, path, nil)
}

// PolicyStatus returns the state of the policy and its rollout. It waits as PolicyView does.
func (c *Client) PolicyStatus(ctx context.Context, after uint64, wait time.Duration) (rollout.Status, error) {
	return request[rollout.Status](ctx, c, http.MethodGet, "policy?"+waitQuery(after, wait), nil)
}
