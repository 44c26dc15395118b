package registry

import (
	"errors"
	"strings"
	"testing"
)

func TestRecords(t *testing.T) {
	s := founded(t)
	put := func(value string, if_ *uint64) Result {
		return s.Apply(Command{Op: OpPutRecord, Key: "k", Value: []byte(value), IfVersion: if_})
	}
	first := put("a", version(0))
	if first.Err != nil || first.Version == 0 {
		t.Fatalf("%+v", first)
	}
	if again := put("a", version(0)); again.Err != nil || again.Version != first.Version {
		t.Errorf("the same again: %+v", again)
	}
	if r := put("b", version(0)); !errors.Is(r.Err, ErrConflict) || r.Version != first.Version {
		t.Errorf("over another's: %+v", r)
	}
	second := put("b", version(first.Version))
	if second.Err != nil || second.Version <= first.Version {
		t.Errorf("%+v", second)
	}
	if r := s.Apply(Command{Op: OpDeleteRecord, Key: "k", IfVersion: version(first.Version)}); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("dropped by an old version: %v", r.Err)
	}
	s.Apply(Command{Op: OpDeleteRecord, Key: "k"})
	if third := put("c", version(0)); third.Version <= second.Version {
		t.Errorf("a record's version %d came again after %d", third.Version, second.Version)
	}
	if r := put(strings.Repeat("x", maxRecordValue+1), nil); !errors.Is(r.Err, ErrInvalid) {
		t.Errorf("too large: %v", r.Err)
	}
}
