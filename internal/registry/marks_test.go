package registry

import (
	"errors"
	"fmt"
	"testing"
)

// A mark persists when the instance reports its health, expires and registers again. It
// can be cleared only by its setter, and the marks of several hosts are set all or none.
func TestMarks(t *testing.T) {
	s := newFoundedState(t)
	register := func(host string, born int64) Result {
		i := newInstance(host)
		i.BornMS = born
		return s.Apply(Command{Op: OpRegister, Instance: i, Session: fmt.Sprint(born)})
	}
	health := func(host string) Health { e, _ := s.Registration(host); return e.Health }
	register("a", 1)
	if r := s.Apply(Command{Op: OpMark, Hosts: []string{"a", "b"}, MarkedBy: "ops-a", Draining: true}); !errors.Is(r.Err, ErrNotFound) || health("a") != HealthUp {
		t.Errorf("one of two hosts unknown: got %v, health of the other %s, want ErrNotFound, up", r.Err, health("a"))
	}
	register("b", 1)
	if r := s.Apply(Command{Op: OpMark, Hosts: []string{"a", "b"}, MarkedBy: "ops-a", Draining: true}); r.Err != nil || len(r.ChangedHosts) != 2 || s.Seq() != r.Version {
		t.Errorf("two hosts: got %+v, want both changed", r)
	}
	if r := s.Apply(Command{Op: OpMark, Host: "a", MarkedBy: "ops-b"}); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("cleared by another operator: got %v, want ErrConflict", r.Err)
	}
	s.Apply(Command{Op: OpExpireSessions, ExpiredSessions: []SessionRef{{"a", "1"}}})
	register("a", 2)
	if health("a") != HealthDraining {
		t.Error("after the instance registered again: got no mark, want draining")
	}
	if r := s.Apply(Command{Op: OpMark, Host: "a", MarkedBy: "ops-a"}); r.Err != nil || health("a") != HealthUp {
		t.Errorf("cleared: got %v, health %s, want no error, up", r.Err, health("a"))
	}
	put := s.Apply(Command{Op: OpPutRecord, Key: "drain:x", Value: []byte("1")})
	if put.Err != nil {
		t.Fatal(put.Err)
	}
	late := Command{Op: OpMark, Host: "a", MarkedBy: "ops-a", Draining: true, IfRecord: "drain:x", IfRecordVersion: put.Version}
	s.Apply(Command{Op: OpPutRecord, Key: "drain:x", Value: []byte("2")})
	if r := s.Apply(late); !errors.Is(r.Err, ErrConflict) || health("a") != HealthUp {
		t.Errorf("mark under a record that has changed: got %v, want ErrConflict", r.Err)
	}
}
