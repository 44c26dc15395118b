package registry

import (
	"testing"
)

func newInstance(host string) *Instance {
	block := 3
	return &Instance{Host: host, Dial: "127.0.0.1:7070", Site: "milano-a", Class: "m2", Block: &block, Health: HealthUp, Share: 1, BornMS: 5}
}

func newFoundedState(t testing.TB) *State {
	t.Helper()
	s := NewState()
	if r := s.Apply(Command{Op: OpFoundGroup, Group: "prenota", AtMS: 1_800_000_000_000}); r.Err != nil {
		t.Fatal(r.Err)
	}
	return s
}

func versionPtr(v uint64) *uint64 { return &v }
