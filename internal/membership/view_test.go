package membership

import (
	"fmt"
	"testing"
	"time"
)

func member(name string, incarnation uint64, machine string) Info {
	return Info{Name: name, Incarnation: incarnation, Role: RoleController, MachineID: machine}
}

// Each event has its effect on a member's status, in any order of arrival: a member
// that answers again is no longer unreachable, while an end that was announced or observed
// is final.
func TestViewStatusTransitions(t *testing.T) {
	a, elsewhere := member("a", 1, "m"), member("b", 1, "n")
	self, sameMachine := member("self", 1, "x"), member("c", 1, "m")
	for _, c := range []struct {
		name   string
		events func(v *View)
		want   Status
	}{
		{"present", func(*View) {}, StatusPresent},
		{"suspected", func(v *View) { v.MarkSuspected("a/1", 2, 10) }, StatusSuspected},
		{"suspected, and the suspicion expires", func(v *View) { v.MarkSuspected("a/1", 2, 3); v.Tick(4) }, StatusPresent},
		{"suspected, and it answers", func(v *View) { v.MarkSuspected("a/1", 2, 10); v.MarkResponded("a/1", 3) }, StatusPresent},
		{"unreachable", func(v *View) { v.MarkUnreachable("a/1", 2) }, StatusUnreachable},
		{"unreachable, and present again", func(v *View) { v.MarkUnreachable("a/1", 2); v.MarkPresent(a, 3) }, StatusPresent},
		{"unreachable, then it leaves", func(v *View) { v.MarkUnreachable("a/1", 2); v.MarkLeft("a/1", 3) }, StatusLeft},
		{"late messages after it left", func(v *View) {
			v.MarkLeft("a/1", 2)
			v.MarkPresent(a, 3)
			v.MarkUnreachable("a/1", 4)
		}, StatusLeft},
		{"end observed on its machine", func(v *View) { v.MarkEnded("a/1", "c/1", 2) }, StatusEnded},
		{"end reported from another machine", func(v *View) { v.MarkEnded("a/1", "b/1", 2) }, StatusPresent},
		{"end reported by an unknown member", func(v *View) { v.MarkEnded("a/1", "d/1", 2) }, StatusPresent},
		{"late message after its end", func(v *View) { v.MarkEnded("a/1", "c/1", 2); v.MarkPresent(a, 3) }, StatusEnded},
		{"a later process of its name", func(v *View) { v.MarkPresent(member("a", 2, "n"), 2) }, StatusReplaced},
		{"an earlier process of its name", func(v *View) { v.MarkPresent(member("a", 0, "n"), 2) }, StatusPresent},
		{"unreachable, and forgotten by an operator", func(v *View) { v.MarkUnreachable("a/1", 2); v.Forget("a", 3) }, StatusEnded},
		{"present, and forgotten by an operator", func(v *View) { v.Forget("a", 3) }, StatusPresent},
	} {
		v := NewView(self, time.Hour, 1)
		for _, i := range []Info{a, elsewhere, sameMachine} {
			v.MarkPresent(i, 1)
		}
		c.events(v)
		if got, _ := v.Get("a/1"); got.Status != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got.Status, c.want)
		}
	}
}

// A view reports how many members are unreachable, since when, and how many rounds a
// partition took to heal. Views of the same members have the same digest.
func TestViewPartition(t *testing.T) {
	v := NewView(member("m0", 1, ""), time.Hour, 1)
	for i := 1; i < 9; i++ {
		v.MarkPresent(member(fmt.Sprint("m", i), 1, ""), 1)
	}
	complete := v.Digest()
	for i := 4; i < 9; i++ {
		v.MarkUnreachable(fmt.Sprintf("m%d/1", i), time.Duration(10+i))
		if got := v.Partition(); !got.Partitioned() || got.Since != 14 || got.Minority() != (i == 8) {
			t.Fatalf("%d of 9 unreachable: got %+v, minority %v; want partitioned since 14, a minority only with 5", i-3, got, got.Minority())
		}
	}
	if v.Digest() == complete {
		t.Error("a view of four members has the same digest as one of nine")
	}
	for i := 4; i < 9; i++ {
		v.MarkPresent(member(fmt.Sprint("m", i), 1, ""), 100)
		v.Tick(101)
	}
	for i := 1; i < 4; i++ {
		if _, healed := v.Tick(102); healed {
			t.Fatal("the partition counts as healed before enough digests have arrived")
		}
		v.RecordDigest(fmt.Sprintf("m%d/1", i), complete, 102)
	}
	if rounds, healed := v.Tick(103); !healed || rounds != 9 || v.Partition().Partitioned() || v.Digest() != complete {
		t.Errorf("got healed %v in %d rounds and %+v, want healed in 9", healed, rounds, v.Partition())
	}
}

// The size of a view is bounded however many members join and fail; members that are present stay.
func TestViewIsBounded(t *testing.T) {
	v := NewView(member("self", 1, ""), time.Hour, 1)
	for i := range maxMembers + 300 {
		m := member(fmt.Sprint("m", i), 1, "")
		v.MarkPresent(m, time.Duration(i+2))
		if i >= 100 {
			v.MarkUnreachable(m.Key(), time.Duration(i+2))
		}
	}
	if len(v.members) != maxMembers || v.Partition().Present != 101 {
		t.Errorf("got %d members, %d of them present; want %d and 101", len(v.members), v.Partition().Present, maxMembers)
	}
	v.Tick(3 * time.Hour)
	if len(v.members) != 101 {
		t.Errorf("got %d members after the unreachable ones have expired, want 101", len(v.members))
	}
}

// Metadata that is too long or invalid is rejected.
func TestInvalidInfoIsRejected(t *testing.T) {
	good := Info{Name: "k1", Incarnation: 7, Role: RoleController, Zone: "z1", HTTPAddr: "127.0.0.1:80", MachineID: "m", PID: 3, ProcessStart: 4, LongestActMS: 100}
	text, err := good.Encode()
	if decoded, decodeErr := DecodeInfo(text); err != nil || decodeErr != nil || decoded != good {
		t.Fatalf("%s: decoded as %+v, errors %v and %v, want the same metadata", text, decoded, err, decodeErr)
	}
	for _, bad := range []string{``, `{}`, `{"n":"a b","r":"keeper"}`, `{"n":"a","r":"king"}`, `{"n":"a","r":"keeper","h":"10.0.0.1:80"}`,
		`{"n":"a","r":"keeper","z":"` + string(make([]byte, 40)) + `"}`, `{"n":"a","r":"keeper","a":-1}`, string(make([]byte, 513))} {
		if i, err := DecodeInfo([]byte(bad)); err == nil {
			t.Errorf("%.40q: decoded as %+v, want an error", bad, i)
		}
	}
}
