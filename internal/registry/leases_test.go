package registry

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// leased is a state in which grants have begun.
func leased(t *testing.T) *State {
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

func ask(s *State, name string, c Claim, wait bool) Result {
	return s.Apply(Command{Op: OpAcquireLease, Lease: &LeaseCommand{Name: name, Claim: c, Wait: wait}})
}

func TestLeaseLine(t *testing.T) {
	s := leased(t)
	a, b, c := claim("a", "k1", 1), claim("b", "k2", 1), claim("c", "k3", 1)
	first := ask(s, "l", a, true)
	if first.Err != nil || first.Token <= s.FirstVersion() {
		t.Fatalf("the first claim got %+v", first)
	}
	if again := ask(s, "l", a, true); again.Token != first.Token {
		t.Errorf("the same claim got token %d, then %d", first.Token, again.Token)
	}
	if r := ask(s, "l", b, false); !errors.Is(r.Err, ErrLeaseHeld) {
		t.Errorf("a held lease: %v", r.Err)
	}
	if r := ask(s, "l", b, true); r.QueuePosition != 1 {
		t.Errorf("place %d, %v", r.QueuePosition, r.Err)
	}
	if r := ask(s, "l", c, true); r.QueuePosition != 2 {
		t.Errorf("place %d, %v", r.QueuePosition, r.Err)
	}
	hand := func(from Claim, to string) Result {
		return s.Apply(Command{Op: OpReleaseLease, Lease: &LeaseCommand{Name: "l", Claim: from, NextHolder: to}})
	}
	if r := hand(a, "k9"); !errors.Is(r.Err, ErrNotFound) {
		t.Errorf("handed over to one who does not wait: %v", r.Err)
	}
	if r := hand(a, "k3"); r.Err != nil {
		t.Fatal(r.Err)
	}
	l, _ := s.Leases().Lease("l")
	if l.Grant == nil || l.Grant.ID != c.ID || l.Grant.Token != first.Token+1 {
		t.Fatalf("after the hand-over: %+v", l.Grant)
	}
	if r := hand(a, ""); r.Err != nil { // it comes a second time, late
		t.Errorf("a repeated release: %v", r.Err)
	}
	if l, _ := s.Leases().Lease("l"); l.Grant.ID != c.ID {
		t.Errorf("a late release ended the next grant: %+v", l.Grant)
	}
	if r := ask(s, "l", a, true); !errors.Is(r.Err, ErrClaimEnded) {
		t.Errorf("a call of a claim that has ended: %v", r.Err)
	}
	if r := ask(s, "l", claim("older", "k3", 0), true); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("an older process of the holder's name: %v", r.Err)
	}
	if r := hand(Claim{ID: c.ID, Holder: Holder{"k3", 7}}, ""); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("another process's release: %v", r.Err)
	}
	s.Apply(Command{Op: OpExpireClaims, Lease: &LeaseCommand{Expired: []ClaimRef{{"l", c.ID}, {"l", a.ID}, {"no", "such"}}}})
	if l, _ := s.Leases().Lease("l"); l.Grant == nil || l.Grant.ID != b.ID || len(l.Queue) != 0 {
		t.Errorf("after its end: %+v", l)
	}
	hand(b, "")
	if all, _ := s.Leases().List(); len(all) != 0 {
		t.Errorf("a lease that nobody wants is kept: %+v", all)
	}
}

func TestLeaseWishes(t *testing.T) {
	s := leased(t)
	a, b := claim("a", "k1", 1), claim("b", "k2", 1)
	wish := func(c LeaseCommand) error {
		c.Name = "l"
		return s.Apply(Command{Op: OpRequestYield, Lease: &c}).Err
	}
	yes, no := true, false
	if err := wish(LeaseCommand{Yield: true}); !errors.Is(err, ErrNotFound) {
		t.Errorf("a lease that is not there: %v", err)
	}
	if err := wish(LeaseCommand{Pause: &yes, NextHolder: "k1"}); !errors.Is(err, ErrNotFound) {
		t.Errorf("a pause for one who does not wait: %v", err)
	}
	ask(s, "l", a, true)
	ask(s, "l", b, true)
	if err := wish(LeaseCommand{Yield: true, NextHolder: "k3"}); !errors.Is(err, ErrNotFound) {
		t.Errorf("for one who does not wait: %v", err)
	}
	if err := wish(LeaseCommand{Yield: true, NextHolder: "k2"}); err != nil {
		t.Fatal(err)
	}
	clock := NewClaimTracker(time.Second)
	now := time.Unix(0, 0)
	answer := clock.RenewClaims(s.Leases(), a.Holder, []ClaimRef{{"l", a.ID}}, now)[0]
	if !answer.YieldRequested || answer.NextHolder != "k2" || answer.Token != 0 {
		t.Errorf("the holder is told %+v", answer)
	}
	if ended, _ := clock.TakeExpired(now.Add(999 * time.Millisecond)); len(ended) != 0 {
		t.Errorf("it is ended at once: %v", ended)
	}
	if ended, _ := clock.TakeExpired(now.Add(time.Second)); len(ended) != 2 {
		t.Errorf("it is never ended: %v", ended)
	}
	if err := wish(LeaseCommand{Pause: &yes}); err != nil {
		t.Fatal(err)
	}
	s.Apply(Command{Op: OpReleaseLease, Lease: &LeaseCommand{Name: "l", Claim: a}})
	if l, _ := s.Leases().Lease("l"); l.Grant != nil || len(l.Queue) != 1 {
		t.Errorf("granted while paused: %+v", l)
	}
	if err := wish(LeaseCommand{Pause: &no}); err != nil {
		t.Fatal(err)
	}
	if l, _ := s.Leases().Lease("l"); l.Grant == nil || l.Grant.ID != b.ID {
		t.Errorf("not granted after the pause: %+v", l)
	}
}

func TestFence(t *testing.T) {
	s := leased(t)
	a, b := claim("a", "k1", 1), claim("b", "k2", 1)
	old := ask(s, "l", a, true).Token
	ask(s, "l", b, true)
	put := func(token uint64, v string) error {
		return s.Apply(Command{Op: OpPutRecord, Key: "r", Value: []byte(v), Fence: &Fence{"l", token}}).Err
	}
	if err := put(old, "1"); err != nil {
		t.Fatal(err)
	}
	s.Apply(Command{Op: OpExpireClaims, Lease: &LeaseCommand{Expired: []ClaimRef{{"l", a.ID}}}})
	if err := put(old, "2"); !errors.Is(err, ErrFenced) {
		t.Errorf("an older token: %v", err)
	}
	if err := put(old+1, "3"); err != nil {
		t.Error(err)
	}
	s.Apply(Command{Op: OpReleaseLease, Lease: &LeaseCommand{Name: "l", Claim: b}})
	if err := put(old+1, "4"); !errors.Is(err, ErrFenced) {
		t.Errorf("a token of a lease that nobody holds: %v", err)
	}
	if r, _ := s.Record("r"); string(r.Value) != "3" {
		t.Errorf("the record is %q", r.Value)
	}
}

func TestLeaseLimits(t *testing.T) {
	s := leased(t)
	for _, c := range []Claim{claim("", "", 1), {ID: "short", Holder: Holder{"k", 1}, TTLMS: 1}, {ID: "claim-x-00", Holder: Holder{"k", 1}}, claim("x", "k", MaxVersion+1)} {
		if r := ask(s, "l", c, true); !errors.Is(r.Err, ErrInvalid) {
			t.Errorf("%+v: %v", c, r.Err)
		}
	}
	if r := ask(s, "a/b", claim("x", "k", 1), true); !errors.Is(r.Err, ErrInvalid) {
		t.Errorf("a name with a slash: %v", r.Err)
	}
	for i := range maxQueue + 1 {
		if r := ask(s, "l", claim(fmt.Sprint(i), fmt.Sprint("k", i), 1), true); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	if r := ask(s, "l", claim("more", "more", 1), true); !errors.Is(r.Err, ErrLimitReached) {
		t.Errorf("a full line: %v", r.Err)
	}
	if r := ask(s, "l", claim("newer", "k5", 2), true); r.Err != nil || r.QueuePosition != maxQueue {
		t.Errorf("a process that started again does not take its own place: %+v", r)
	}
	for i := range maxLeases {
		ask(s, fmt.Sprint("l", i), claim(fmt.Sprint("l", i), "k", 1), true)
	}
	if r := ask(s, "one-more", claim("full", "k", 1), true); !errors.Is(r.Err, ErrLimitReached) {
		t.Errorf("too many leases: %v", r.Err)
	}
	// A token at its largest value: no grant, and no lower one.
	s = leased(t)
	s.leases.lastToken = MaxVersion - 1
	if r := ask(s, "l", claim("last", "k", 1), true); r.Token != MaxVersion {
		t.Errorf("the last token is %d, %v", r.Token, r.Err)
	}
	if r := ask(s, "m", claim("next", "k", 1), true); !errors.Is(r.Err, ErrLimitReached) {
		t.Errorf("beyond the last token: %+v", r)
	}
}
