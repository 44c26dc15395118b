package registry

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"
)

func TestLeasesOverRestoreAndSnapshot(t *testing.T) {
	s := leased(t)
	backup, _ := s.MarshalJSON()
	a := claim("a", "k1", 1)
	token := ask(s, "l", a, true).Token
	ask(s, "l", claim("b", "k2", 1), true)
	if r := s.Apply(Command{Op: OpRestore, Backup: backup}); r.Err != nil {
		t.Fatal(r.Err)
	}
	if l, _ := s.Leases().Lease("l"); l.Grant == nil || l.Grant.Token != token {
		t.Errorf("a restore took a lease from its holder: %+v", l)
	}
	if r := ask(s, "m", claim("c", "k1", 1), true); r.Token <= token {
		t.Errorf("token %d after %d and a restore", r.Token, token)
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	again := NewState()
	if err := json.Unmarshal(text, again); err != nil {
		t.Fatal(err)
	}
	if twice, _ := json.Marshal(again); !bytes.Equal(twice, text) {
		t.Errorf("a snapshot of a snapshot is\n%s, it was\n%s", twice, text)
	}
	for _, broken := range []string{
		`{"token":1,"version":1,"all":{"l":{"name":"m"}}}`, `{"token":1,"version":1,"all":{"l":{"name":"l","grant":{"token":2}}}}`, `{"token":9007199254740993}`,
	} {
		if err := json.Unmarshal([]byte(broken), newLeases(0)); err == nil {
			t.Errorf("%s is taken", broken)
		}
	}
	// Another group of the name, founded later: its tokens are higher still, and it
	// grants none before those of the first have run out.
	other := NewState()
	other.Apply(Command{Op: OpFoundGroup, Group: "g", AtMS: 1_700_000_001_000})
	if other.leases.lastToken <= s.leases.lastToken || !other.Leases().GrantsClosed() {
		t.Errorf("a later group begins at %d, the first one is at %d; shut %v", other.leases.lastToken, s.leases.lastToken, other.Leases().GrantsClosed())
	}
	if r := ask(other, "l", a, true); r.Err != nil || r.Token != 0 || r.QueuePosition != 1 {
		t.Errorf("granted at once by a new group: %+v", r)
	}
	clock := NewClaimTracker(time.Minute)
	now := time.Unix(0, 0)
	clock.Sync(other.Leases(), now)
	if _, open := clock.TakeExpired(now.Add(time.Minute - 1)); open {
		t.Error("grants begin too early")
	}
	if _, open := clock.TakeExpired(now.Add(time.Minute)); !open {
		t.Error("grants never begin")
	}
	other.Apply(Command{Op: OpOpenGrants, Lease: new(LeaseCommand)})
	if l, _ := other.Leases().Lease("l"); l.Grant == nil {
		t.Error("who waited is not granted the lease")
	}
	clock.Sync(other.Leases(), now.Add(2*time.Minute))
	if _, open := clock.TakeExpired(now.Add(4 * time.Minute)); open {
		t.Error("grants begin twice")
	}
}
