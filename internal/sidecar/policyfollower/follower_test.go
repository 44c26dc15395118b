package policyfollower

import (
	"context"
	"errors"
	"strings"
	"testing"

	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
)

// What happens: a sidecar that cannot act by the fleet policy ends with `policy: epoch 0 cannot
// be acted by here`, whatever the epoch is. Why: the epoch was read from the policy to act by,
// which is empty in just this case.
func TestUnsupportedPolicyIsNamedByItsEpoch(t *testing.T) {
	registryClient, err := client.New([]string{"127.0.0.1:1"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer registryClient.Close()
	unsupported := errors.New("it limits a tenant that is not here")
	self := rollout.Member{Name: "n1", Incarnation: 1}
	f := &Follower{client: registryClient, state: &rollout.Follower{Self: self, Supports: func(*rollout.Document) error { return unsupported }}}
	f.state.HandleView(rollout.View{InRoster: true, Version: 9, Epoch: 7, Document: &rollout.Document{}})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.applyActive(ctx); !errors.Is(err, unsupported) || !strings.Contains(err.Error(), "epoch 7 cannot") {
		t.Errorf("got %v, want that epoch 7 cannot be acted by", err)
	}
}
