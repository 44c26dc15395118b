package membership

import (
	"fmt"
	"testing"
	"time"
)

func member(name string, incarnation uint64, machine string) Info {
	return Info{Name: name, Incarnation: incarnation, Role: RoleController, MachineID: machine}
}

// What a view makes of news, whatever their order: silence is undone by a sign of life,
// an end that somebody saw or said is not.
func TestViewOfNews(t *testing.T) {
	a, other := member("a", 1, "m"), member("b", 1, "n")
	here, near := member("self", 1, "x"), member("c", 1, "m")
	for _, c := range []struct {
		what string
		news func(v *View)
		want Status
	}{
		{"it came", func(*View) {}, StatusPresent},
		{"suspected", func(v *View) { v.MarkSuspected("a/1", 2, 10) }, StatusSuspected},
		{"suspected, and the time has passed", func(v *View) { v.MarkSuspected("a/1", 2, 3); v.Tick(4) }, StatusPresent},
		{"suspected, and it answered", func(v *View) { v.MarkSuspected("a/1", 2, 10); v.MarkResponded("a/1", 3) }, StatusPresent},
		{"lost", func(v *View) { v.MarkUnreachable("a/1", false, 2) }, StatusUnreachable},
		{"lost, and back", func(v *View) { v.MarkUnreachable("a/1", false, 2); v.MarkPresent(a, 3) }, StatusPresent},
		{"a goodbye after its loss", func(v *View) { v.MarkUnreachable("a/1", false, 2); v.MarkUnreachable("a/1", true, 3) }, StatusLeft},
		{"late news after its goodbye", func(v *View) {
			v.MarkUnreachable("a/1", true, 2)
			v.MarkPresent(a, 3)
			v.MarkUnreachable("a/1", false, 4)
		}, StatusLeft},
		{"seen to have ended by one on its machine", func(v *View) { v.MarkEnded("a/1", "c/1", 2) }, StatusEnded},
		{"by one elsewhere", func(v *View) { v.MarkEnded("a/1", "b/1", 2) }, StatusPresent},
		{"by one that nobody knows", func(v *View) { v.MarkEnded("a/1", "d/1", 2) }, StatusPresent},
		{"late news after its end", func(v *View) { v.MarkEnded("a/1", "c/1", 2); v.MarkPresent(a, 3) }, StatusEnded},
		{"a later process has its name", func(v *View) { v.MarkPresent(member("a", 2, "n"), 2) }, StatusReplaced},
		{"an earlier one has, and is there", func(v *View) { v.MarkPresent(member("a", 0, "n"), 2) }, StatusPresent},
		{"an operator gave it up", func(v *View) { v.MarkUnreachable("a/1", false, 2); v.Forget("a", 3) }, StatusEnded},
		{"an operator's word on one that is there", func(v *View) { v.Forget("a", 3) }, StatusPresent},
	} {
		v := NewView(here, time.Hour, 1)
		for _, i := range []Info{a, other, near} {
			v.MarkPresent(i, 1)
		}
		c.news(v)
		if s, _ := v.Get("a/1"); s.Status != c.want {
			t.Errorf("%s: it is %s, want %s", c.what, s.Status, c.want)
		}
	}
}

// A view says how much of the fleet it has lost, since when, and in how many rounds it
// was whole again; two that see the same have one digest.
func TestViewOfParts(t *testing.T) {
	v := NewView(member("m0", 1, ""), time.Hour, 1)
	for i := 1; i < 9; i++ {
		v.MarkPresent(member(fmt.Sprint("m", i), 1, ""), 1)
	}
	whole := v.Digest()
	for i := 4; i < 9; i++ {
		v.MarkUnreachable(fmt.Sprintf("m%d/1", i), false, time.Duration(10+i))
		if side := v.Partition(); !side.Partitioned() || side.Since != 14 || side.Minority() != (i == 8) {
			t.Fatalf("without %d of 9 the side is %+v, minority %v", i-3, side, side.Minority())
		}
	}
	if v.Digest() == whole {
		t.Error("the digest of four is that of nine")
	}
	for i := 4; i < 9; i++ {
		v.MarkPresent(member(fmt.Sprint("m", i), 1, ""), 100)
		v.Tick(101)
	}
	for i := 1; i < 4; i++ {
		if _, done := v.Tick(102); done {
			t.Fatal("all was whole before anybody said so")
		}
		v.RecordDigest(fmt.Sprintf("m%d/1", i), whole, 102)
	}
	if rounds, done := v.Tick(103); !done || rounds != 9 || v.Partition().Partitioned() || v.Digest() != whole {
		t.Errorf("afterwards: done %v in %d rounds, side %+v", done, rounds, v.Partition())
	}
}

// A view is bounded, whatever comes and goes, and keeps those that are there.
func TestViewIsBounded(t *testing.T) {
	v := NewView(member("self", 1, ""), time.Hour, 1)
	for i := range maxMembers + 300 {
		m := member(fmt.Sprint("m", i), 1, "")
		v.MarkPresent(m, time.Duration(i+2))
		if i >= 100 {
			v.MarkUnreachable(m.Key(), false, time.Duration(i+2))
		}
	}
	if len(v.members) != maxMembers || v.Partition().Present != 101 {
		t.Errorf("%d members are held, %d of them there; want %d and 101", len(v.members), v.Partition().Present, maxMembers)
	}
	v.Tick(3 * time.Hour)
	if len(v.members) != 101 {
		t.Errorf("%d are held when the lost ones are long past, want 101", len(v.members))
	}
}

// What a stranger sends as a member is refused: too long, not ours, not what it is named.
func TestInfoThatIsRefused(t *testing.T) {
	good := Info{Name: "k1", Incarnation: 7, Role: RoleController, Zone: "z1", HTTPAddr: "127.0.0.1:80", MachineID: "m", PID: 3, ProcessStart: 4, LongestActMS: 100}
	text, err := good.Encode()
	if back, derr := DecodeInfo(text); err != nil || derr != nil || back != good {
		t.Fatalf("%s is read as %+v: %v, %v", text, back, err, derr)
	}
	for _, bad := range []string{``, `{}`, `{"n":"a b","r":"keeper"}`, `{"n":"a","r":"king"}`, `{"n":"a","r":"keeper","h":"10.0.0.1:80"}`,
		`{"n":"a","r":"keeper","z":"` + string(make([]byte, 40)) + `"}`, `{"n":"a","r":"keeper","a":-1}`, string(make([]byte, 513))} {
		if i, err := DecodeInfo([]byte(bad)); err == nil {
			t.Errorf("%.40q is read as %+v", bad, i)
		}
	}
}
