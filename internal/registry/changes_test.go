package registry

import (
	"maps"
	"math"
	"testing"
)

// applyUpdate applies an update to a list in the same way as a sidecar.
func applyUpdate(held map[string]Instance, l ListUpdate) {
	if l.Full {
		clear(held)
	}
	for _, i := range l.Instances {
		if i.Health == HealthRemoved {
			delete(held, i.Host)
		} else {
			held[i.Host] = i
		}
	}
}

func sameList(a, b map[string]Instance) bool {
	return maps.EqualFunc(a, b, func(x, y Instance) bool { return x.equal(y) })
}

// A version that the log of changes does not cover gets the full list: one that is older
// than the log, newer than the state, or of another group's history.
func TestUncoveredVersionGetsFullList(t *testing.T) {
	s := newFoundedState(t)
	for i := range maxListChanges + 10 {
		c := newInstance("s-1")
		c.BornMS = int64(i)
		s.Apply(Command{Op: OpRegister, Instance: c, Session: "x"})
	}
	other := NewState()
	other.Apply(Command{Op: OpFoundGroup, Group: "other", AtMS: 1_800_000_000_000 + 60_000})
	for name, from := range map[string]uint64{
		"none": 0, "first": s.FirstVersion(), "just before the log": s.Seq() - maxListChanges - 1, "next": s.Seq() + 1,
		"highest": math.MaxUint64, "another group's": other.Seq(),
	} {
		if l := s.ChangesSince(from); !l.Full || len(l.Instances) != 1 || l.Seq != s.Seq() {
			t.Errorf("%s: got %+v, want the full list", name, l)
		}
	}
	if l := other.ChangesSince(s.Seq()); !l.Full {
		t.Error("version of an earlier group: got changes, want the full list")
	}
	for _, from := range []uint64{s.Seq() - maxListChanges, s.Seq() - 1} {
		if l := s.ChangesSince(from); l.Full || len(l.Instances) != 1 {
			t.Errorf("%d versions back: got %+v, want the change", s.Seq()-from, l)
		}
	}
	if l := s.ChangesSince(s.Seq()); l.Full || len(l.Instances) != 0 {
		t.Errorf("newest version: got %+v, want no change", l)
	}
	if len(s.changes) > maxListChanges {
		t.Errorf("the log of changes has %d entries, want %d at most", len(s.changes), maxListChanges)
	}
}
