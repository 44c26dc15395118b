package policyfollower

import (
	"context"
	"errors"
	"strings"
	"testing"

	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
)

// Guards against an error that names epoch 0 for any unsupported policy: the epoch was read from the
// active policy, which is empty in exactly this case.
func TestUnsupportedPolicyErrorNamesItsEpoch(t *testing.T) {
	registryClient, err := client.New([]string{"127.0.0.1:1"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer registryClient.Close()
	unsupported := errors.New("document limits an unknown tenant")
	self := rollout.Member{Name: "n1", Incarnation: 1}
	f := &Follower{client: registryClient, state: &rollout.Follower{Self: self, Supports: func(*rollout.Document) error { return unsupported }}}
	f.state.HandleView(rollout.View{InRoster: true, Version: 9, Epoch: 7, Document: &rollout.Document{}})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.applyActive(ctx); !errors.Is(err, unsupported) || !strings.Contains(err.Error(), "epoch 7 is not supported") {
		t.Errorf("got %v, want an error that epoch 7 is not supported", err)
	}
}
