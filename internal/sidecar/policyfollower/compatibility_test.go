package policyfollower

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"barleywick/internal/rollout"
	"barleywick/internal/testing/fixture"
)

// The files in testdata/396a775 were written by the code of that commit, the last one before identifiers
// were renamed. They must stay readable, and the current code must write the same bytes.

type enforcerFunc func(ctx context.Context, d *rollout.Document) error

func (f enforcerFunc) EnforcePolicy(ctx context.Context, d *rollout.Document) error { return f(ctx, d) }

// storedPolicies returns the policies that 396a775 wrote to its policy store, by file name.
func storedPolicies() map[string]rollout.ActivePolicy {
	document := func(mode rollout.Mode) *rollout.Document {
		return &rollout.Document{
			FormatVersion: 1, Mode: mode, MaxAttempts: 2, NoProbes: true, MaxClientConnections: 100, MaxServerConnections: 50,
			Tenants: []rollout.Tenant{{Name: "acme", Slots: 8, QueuePlaces: 4}, {Name: "zeta", Slots: 2, QueuePlaces: 1}},
		}
	}
	next := &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "acme", Slots: 1, QueuePlaces: 1}}}
	return map[string]rollout.ActivePolicy{
		"none":   {},
		"carry":  {Epoch: 4, Document: document(rollout.ModeCarry)},
		"refuse": {Epoch: 5, Document: document(rollout.ModeRefuse)},
		"joint":  {Epoch: 4, Document: document(rollout.ModeCarry), JointChange: 5, NextDocument: next},
		"first":  {JointChange: 1, NextDocument: next},
	}
}

func TestPolicyStoreIsWrittenAsBy396a775(t *testing.T) {
	for name, active := range storedPolicies() {
		s := store{t.TempDir()}
		if err := s.save(active); err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(s.path())
		if want := fixture.ReadString(t, name+".json"); err != nil || string(got) != want {
			t.Errorf("%s is stored as\n%s, error %v; want\n%s", name, got, err, want)
		}
	}
}

func TestPolicyStoreOf396a775IsRead(t *testing.T) {
	policies := storedPolicies()
	for _, name := range []string{"none", "carry", "refuse", "joint", "first", "torn", "changed"} {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "policy.json"), []byte(fixture.ReadString(t, name+".json")), 0o600); err != nil {
			t.Fatal(err)
		}
		var enforced []*rollout.Document
		f := &Follower{
			store: store{folder}, tenants: []string{"acme", "zeta"},
			state: &rollout.Follower{}, startedAt: time.Now().Add(-2 * storeFallbackDelay),
			enforcer: enforcerFunc(func(_ context.Context, d *rollout.Document) error { enforced = append(enforced, d); return nil }),
		}
		f.applyStored(t.Context())
		want, usable := policies[name], name != "refuse" && name != "torn" && name != "changed"
		if !usable {
			if len(enforced) != 0 || f.Admitting() {
				t.Errorf("%s: enforced %v, admitting %v; want neither", name, enforced, f.Admitting())
			}
			continue
		}
		if len(enforced) != 1 || !reflect.DeepEqual(enforced[0], want.Effective()) || !reflect.DeepEqual(f.active, want) || !f.Admitting() {
			t.Errorf("%s: enforced %+v, active %+v, admitting %v; want %+v", name, enforced, f.active, f.Admitting(), want)
		}
	}
}

// The text of /health/policy is parsed by programs, so it must not change.
func TestStatusTextsMatch396a775(t *testing.T) {
	since := time.Unix(1764000000, 0)
	var got strings.Builder
	for _, s := range []Status{
		{},
		{Epoch: 4, Stage: rollout.StageSettled, Since: since, Admitting: true},
		{Epoch: 4, JointChange: 5, Stage: rollout.StageJoint, Since: since, Admitting: true},
		{Epoch: 4, Stage: rollout.StagePreparing, Since: since, Admitting: true, FromStore: true},
		{Epoch: 4, Stage: rollout.StageCanary, Since: since, RefusalReason: "policy: keep what is held: no"},
	} {
		fmt.Fprintln(&got, s)
	}
	if want := fixture.ReadString(t, "status.txt"); got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}
