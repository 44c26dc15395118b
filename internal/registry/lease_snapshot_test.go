package registry

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"
)

func TestLeasesSurviveRestoreAndSnapshot(t *testing.T) {
	s := newOpenState(t)
	backup, _ := s.MarshalJSON()
	a := claim("a", "k1", 1)
	token := acquire(s, "l", a, true).Token
	acquire(s, "l", claim("b", "k2", 1), true)
	if r := s.Apply(Command{Op: OpRestore, Backup: backup}); r.Err != nil {
		t.Fatal(r.Err)
	}
	if l, _ := s.Leases().Lease("l"); l.Grant == nil || l.Grant.Token != token {
		t.Errorf("after a restore: got %+v, want the grant with token %d", l, token)
	}
	if r := acquire(s, "m", claim("c", "k1", 1), true); r.Token <= token {
		t.Errorf("after a restore: got token %d, want more than %d", r.Token, token)
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
		t.Errorf("snapshot of a snapshot:\ngot  %s\nwant %s", twice, text)
	}
	for _, broken := range []string{
		`{"token":1,"version":1,"all":{"l":{"name":"m"}}}`, `{"token":1,"version":1,"all":{"l":{"name":"l","grant":{"token":2}}}}`, `{"token":9007199254740993}`,
	} {
		if err := json.Unmarshal([]byte(broken), newLeases(0)); err == nil {
			t.Errorf("%s: got no error, want one", broken)
		}
	}
	// Another group of the same name, founded later, has higher tokens, and grants no leases
	// until those of the first group have expired.
	other := NewState()
	other.Apply(Command{Op: OpFoundGroup, Group: "g", AtMS: 1_700_000_001_000})
	if other.leases.lastToken <= s.leases.lastToken || !other.Leases().GrantsClosed() {
		t.Errorf("later group: got token %d, grants closed %v, want more than %d, closed", other.leases.lastToken, other.Leases().GrantsClosed(), s.leases.lastToken)
	}
	if r := acquire(other, "l", a, true); r.Err != nil || r.Token != 0 || r.QueuePosition != 1 {
		t.Errorf("new group: got %+v, want queue position 1", r)
	}
	tracker := NewClaimTracker(time.Minute)
	now := time.Unix(0, 0)
	tracker.Sync(other.Leases(), now)
	if _, open := tracker.TakeExpired(now.Add(time.Minute - 1)); open {
		t.Error("before the maximum time to live has passed: got a request to open the grants, want none")
	}
	if _, open := tracker.TakeExpired(now.Add(time.Minute)); !open {
		t.Error("after the maximum time to live: got no request to open the grants, want one")
	}
	other.Apply(Command{Op: OpOpenGrants, Lease: new(LeaseCommand)})
	if l, _ := other.Leases().Lease("l"); l.Grant == nil {
		t.Error("after opening the grants: got no grant for the queued claim")
	}
	tracker.Sync(other.Leases(), now.Add(2*time.Minute))
	if _, open := tracker.TakeExpired(now.Add(4 * time.Minute)); open {
		t.Error("after the grants were opened: got another request to open them, want none")
	}
}
