package registry

import (
	"errors"
	"fmt"
	"testing"
)

// A mark outlives the instance's own word, its absence and its return; only who
// set it takes it back, and several are set together or not at all.
func TestMarks(t *testing.T) {
	s := founded(t)
	register := func(host string, born int64) Result {
		i := instance(host)
		i.BornMS = born
		return s.Apply(Command{Op: OpRegister, Instance: i, Session: fmt.Sprint(born)})
	}
	health := func(host string) Health { e, _ := s.Registration(host); return e.Health }
	register("a", 1)
	if r := s.Apply(Command{Op: OpMark, Hosts: []string{"a", "b"}, MarkedBy: "ops-a", Draining: true}); !errors.Is(r.Err, ErrNotFound) || health("a") != HealthUp {
		t.Errorf("one of two is unknown: %v, and the other is %s", r.Err, health("a"))
	}
	register("b", 1)
	if r := s.Apply(Command{Op: OpMark, Hosts: []string{"a", "b"}, MarkedBy: "ops-a", Draining: true}); r.Err != nil || len(r.ChangedHosts) != 2 || s.Seq() != r.Version {
		t.Errorf("both: %+v", r)
	}
	if r := s.Apply(Command{Op: OpMark, Host: "a", MarkedBy: "ops-b"}); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("somebody else took the mark back: %v", r.Err)
	}
	s.Apply(Command{Op: OpExpireSessions, ExpiredSessions: []SessionRef{{"a", "1"}}})
	register("a", 2)
	if health("a") != HealthDraining {
		t.Error("the mark was lost as the server started again")
	}
	if r := s.Apply(Command{Op: OpMark, Host: "a", MarkedBy: "ops-a"}); r.Err != nil || health("a") != HealthUp {
		t.Errorf("taken back: %v, %s", r.Err, health("a"))
	}
	put := s.Apply(Command{Op: OpPutRecord, Key: "drain:x", Value: []byte("1")})
	if put.Err != nil {
		t.Fatal(put.Err)
	}
	late := Command{Op: OpMark, Host: "a", MarkedBy: "ops-a", Draining: true, IfRecord: "drain:x", IfRecordVersion: put.Version}
	s.Apply(Command{Op: OpPutRecord, Key: "drain:x", Value: []byte("2")})
	if r := s.Apply(late); !errors.Is(r.Err, ErrConflict) || health("a") != HealthUp {
		t.Errorf("a mark by who has lost the claim: %v", r.Err)
	}
}
