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

// ApplyPolicyStep takes a step of a change of policy, and returns what the member that it names
// is to act by. It may be called again: a step is carried out once.
func (c *Client) ApplyPolicyStep(ctx context.Context, step rollout.Command, fence *registry.Fence) (rollout.View, error) {
	var v rollout.View
	err := c.call(ctx, http.MethodPost, "policy", registry.PolicyRequest{Command: step, Fence: fence}, &v)
	return v, err
}

// PolicyView returns what a member is to act by, at the latest when that has changed
// after a version or the wait is over. It may be a moment old.
func (c *Client) PolicyView(ctx context.Context, m rollout.Member, after uint64, wait time.Duration) (rollout.View, error) {
	var v rollout.View
	path := fmt.Sprintf("policy/view?member=%s&incarnation=%d&after=%d&wait_ms=%d", url.QueryEscape(m.Name), m.Incarnation, after, wait.Milliseconds())
	err := c.call(ctx, http.MethodGet, path, nil, &v)
	return v, err
}

// PolicyStatus tells how the policy and its change stand.
func (c *Client) PolicyStatus(ctx context.Context, after uint64, wait time.Duration) (rollout.Status, error) {
	var s rollout.Status
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("policy?after=%d&wait_ms=%d", after, wait.Milliseconds()), nil, &s)
	return s, err
}
