package registry

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// newOpenState returns a state that grants leases.
func newOpenState(t *testing.T) *State {
	t.Helper()
	s := NewState()
	for _, c := range []Command{{Op: OpFoundGroup, Group: "g", AtMS: 1_700_000_000_000}, {Op: OpOpenGrants, Lease: new(LeaseCommand)}} {
		if r := s.Apply(c); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	return s
}

func claim(id, holder string, incarnation uint64) Claim {
	return Claim{ID: "claim-" + id + "-0", Holder: Holder{holder, incarnation}, TTLMS: 1000}
}

func acquire(s *State, name string, c Claim, wait bool) Result {
	return s.Apply(Command{Op: OpAcquireLease, Lease: &LeaseCommand{Name: name, Claim: c, Wait: wait}})
}

func TestLeaseQueue(t *testing.T) {
	s := newOpenState(t)
	a, b, c := claim("a", "k1", 1), claim("b", "k2", 1), claim("c", "k3", 1)
	first := acquire(s, "l", a, true)
	if first.Err != nil || first.Token <= s.FirstVersion() {
		t.Fatalf("first claim: got %+v, want a token above %d", first, s.FirstVersion())
	}
	if again := acquire(s, "l", a, true); again.Token != first.Token {
		t.Errorf("same claim again: got token %d, want %d", again.Token, first.Token)
	}
	if r := acquire(s, "l", b, false); !errors.Is(r.Err, ErrLeaseHeld) {
		t.Errorf("held lease, without waiting: got %v, want ErrLeaseHeld", r.Err)
	}
	if r := acquire(s, "l", b, true); r.QueuePosition != 1 {
		t.Errorf("queue position: got %d, error %v, want 1", r.QueuePosition, r.Err)
	}
	if r := acquire(s, "l", c, true); r.QueuePosition != 2 {
		t.Errorf("queue position: got %d, error %v, want 2", r.QueuePosition, r.Err)
	}
	release := func(from Claim, to string) Result {
		return s.Apply(Command{Op: OpReleaseLease, Lease: &LeaseCommand{Name: "l", Claim: from, NextHolder: to}})
	}
	if r := release(a, "k9"); !errors.Is(r.Err, ErrNotFound) {
		t.Errorf("released to a holder that is not queued: got %v, want ErrNotFound", r.Err)
	}
	if r := release(a, "k3"); r.Err != nil {
		t.Fatal(r.Err)
	}
	l, _ := s.Leases().Lease("l")
	if l.Grant == nil || l.Grant.ID != c.ID || l.Grant.Token != first.Token+1 {
		t.Fatalf("after the release to k3: got grant %+v, want claim %s with token %d", l.Grant, c.ID, first.Token+1)
	}
	if r := release(a, ""); r.Err != nil { // a delayed repetition
		t.Errorf("repeated release: got error %v, want none", r.Err)
	}
	if l, _ := s.Leases().Lease("l"); l.Grant.ID != c.ID {
		t.Errorf("after a late release: got grant %+v, want claim %s", l.Grant, c.ID)
	}
	if r := acquire(s, "l", a, true); !errors.Is(r.Err, ErrClaimEnded) {
		t.Errorf("ended claim: got %v, want ErrClaimEnded", r.Err)
	}
	if r := acquire(s, "l", claim("older", "k3", 0), true); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("earlier incarnation of the holder: got %v, want ErrConflict", r.Err)
	}
	if r := release(Claim{ID: c.ID, Holder: Holder{"k3", 7}}, ""); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("release by another incarnation: got %v, want ErrConflict", r.Err)
	}
	s.Apply(Command{Op: OpExpireClaims, Lease: &LeaseCommand{Expired: []ClaimRef{{"l", c.ID}, {"l", a.ID}, {"no", "such"}}}})
	if l, _ := s.Leases().Lease("l"); l.Grant == nil || l.Grant.ID != b.ID || len(l.Queue) != 0 {
		t.Errorf("after the claim expired: got %+v, want a grant of claim %s and an empty queue", l, b.ID)
	}
	release(b, "")
	if all, _ := s.Leases().List(); len(all) != 0 {
		t.Errorf("leases without a claim: got %+v, want none", all)
	}
}

func TestYieldRequests(t *testing.T) {
	s := newOpenState(t)
	a, b := claim("a", "k1", 1), claim("b", "k2", 1)
	requestYield := func(c LeaseCommand) error {
		c.Name = "l"
		return s.Apply(Command{Op: OpRequestYield, Lease: &c}).Err
	}
	yes, no := true, false
	if err := requestYield(LeaseCommand{Yield: true}); !errors.Is(err, ErrNotFound) {
		t.Errorf("unknown lease: got %v, want ErrNotFound", err)
	}
	if err := requestYield(LeaseCommand{Pause: &yes, NextHolder: "k1"}); !errors.Is(err, ErrNotFound) {
		t.Errorf("pause with a next holder that is not queued: got %v, want ErrNotFound", err)
	}
	acquire(s, "l", a, true)
	acquire(s, "l", b, true)
	if err := requestYield(LeaseCommand{Yield: true, NextHolder: "k3"}); !errors.Is(err, ErrNotFound) {
		t.Errorf("yield to a holder that is not queued: got %v, want ErrNotFound", err)
	}
	if err := requestYield(LeaseCommand{Yield: true, NextHolder: "k2"}); err != nil {
		t.Fatal(err)
	}
	tracker := NewClaimTracker(time.Second)
	now := time.Unix(0, 0)
	status := tracker.RenewClaims(s.Leases(), a.Holder, []ClaimRef{{"l", a.ID}}, now)[0]
	if !status.YieldRequested || status.NextHolder != "k2" || status.Token != 0 {
		t.Errorf("the holder's renewal: got %+v, want a yield request for k2", status)
	}
	if expired, _ := tracker.TakeExpired(now.Add(999 * time.Millisecond)); len(expired) != 0 {
		t.Errorf("before its time to live is over: got expired claims %v, want none", expired)
	}
	if expired, _ := tracker.TakeExpired(now.Add(time.Second)); len(expired) != 2 {
		t.Errorf("after its time to live: got expired claims %v, want both", expired)
	}
	if err := requestYield(LeaseCommand{Pause: &yes}); err != nil {
		t.Fatal(err)
	}
	s.Apply(Command{Op: OpReleaseLease, Lease: &LeaseCommand{Name: "l", Claim: a}})
	if l, _ := s.Leases().Lease("l"); l.Grant != nil || len(l.Queue) != 1 {
		t.Errorf("paused: got %+v, want no grant and one claim queued", l)
	}
	if err := requestYield(LeaseCommand{Pause: &no}); err != nil {
		t.Fatal(err)
	}
	if l, _ := s.Leases().Lease("l"); l.Grant == nil || l.Grant.ID != b.ID {
		t.Errorf("after the pause: got %+v, want a grant of claim %s", l, b.ID)
	}
}

func TestFence(t *testing.T) {
	s := newOpenState(t)
	a, b := claim("a", "k1", 1), claim("b", "k2", 1)
	old := acquire(s, "l", a, true).Token
	acquire(s, "l", b, true)
	put := func(token uint64, v string) error {
		return s.Apply(Command{Op: OpPutRecord, Key: "r", Value: []byte(v), Fence: &Fence{"l", token}}).Err
	}
	if err := put(old, "1"); err != nil {
		t.Fatal(err)
	}
	s.Apply(Command{Op: OpExpireClaims, Lease: &LeaseCommand{Expired: []ClaimRef{{"l", a.ID}}}})
	if err := put(old, "2"); !errors.Is(err, ErrFenced) {
		t.Errorf("old token: got %v, want ErrFenced", err)
	}
	if err := put(old+1, "3"); err != nil {
		t.Error(err)
	}
	s.Apply(Command{Op: OpReleaseLease, Lease: &LeaseCommand{Name: "l", Claim: b}})
	if err := put(old+1, "4"); !errors.Is(err, ErrFenced) {
		t.Errorf("token of a lease that is not held: got %v, want ErrFenced", err)
	}
	if r, _ := s.Record("r"); string(r.Value) != "3" {
		t.Errorf("record: got %q, want \"3\"", r.Value)
	}
}

func TestLeaseLimits(t *testing.T) {
	s := newOpenState(t)
	for _, c := range []Claim{claim("", "", 1), {ID: "short", Holder: Holder{"k", 1}, TTLMS: 1}, {ID: "claim-x-00", Holder: Holder{"k", 1}}, claim("x", "k", MaxVersion+1)} {
		if r := acquire(s, "l", c, true); !errors.Is(r.Err, ErrInvalid) {
			t.Errorf("claim %+v: got %v, want ErrInvalid", c, r.Err)
		}
	}
	if r := acquire(s, "a/b", claim("x", "k", 1), true); !errors.Is(r.Err, ErrInvalid) {
		t.Errorf("lease name with a slash: got %v, want ErrInvalid", r.Err)
	}
	for i := range maxQueue + 1 {
		if r := acquire(s, "l", claim(fmt.Sprint(i), fmt.Sprint("k", i), 1), true); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	if r := acquire(s, "l", claim("more", "more", 1), true); !errors.Is(r.Err, ErrLimitReached) {
		t.Errorf("full queue: got %v, want ErrLimitReached", r.Err)
	}
	if r := acquire(s, "l", claim("newer", "k5", 2), true); r.Err != nil || r.QueuePosition != maxQueue {
		t.Errorf("later incarnation of a queued process: got %+v, want queue position %d", r, maxQueue)
	}
	for i := range maxLeases {
		acquire(s, fmt.Sprint("l", i), claim(fmt.Sprint("l", i), "k", 1), true)
	}
	if r := acquire(s, "one-more", claim("full", "k", 1), true); !errors.Is(r.Err, ErrLimitReached) {
		t.Errorf("one lease too many: got %v, want ErrLimitReached", r.Err)
	}
	// After the highest token no further lease is granted, rather than one with a lower token.
	s = newOpenState(t)
	s.leases.lastToken = MaxVersion - 1
	if r := acquire(s, "l", claim("last", "k", 1), true); r.Token != MaxVersion {
		t.Errorf("last token: got %d, error %v, want %d", r.Token, r.Err, uint64(MaxVersion))
	}
	if r := acquire(s, "m", claim("next", "k", 1), true); !errors.Is(r.Err, ErrLimitReached) {
		t.Errorf("after the last token: got %+v, want ErrLimitReached", r)
	}
}
