package registry

import (
	"errors"
	"strings"
	"testing"
)

func TestRecords(t *testing.T) {
	s := newFoundedState(t)
	put := func(value string, ifVersion *uint64) Result {
		return s.Apply(Command{Op: OpPutRecord, Key: "k", Value: []byte(value), IfVersion: ifVersion})
	}
	first := put("a", versionPtr(0))
	if first.Err != nil || first.Version == 0 {
		t.Fatalf("first write: got %+v, want a version and no error", first)
	}
	if again := put("a", versionPtr(0)); again.Err != nil || again.Version != first.Version {
		t.Errorf("same value again: got %+v, want version %d", again, first.Version)
	}
	if r := put("b", versionPtr(0)); !errors.Is(r.Err, ErrConflict) || r.Version != first.Version {
		t.Errorf("another value under version 0: got %+v, want ErrConflict at version %d", r, first.Version)
	}
	second := put("b", versionPtr(first.Version))
	if second.Err != nil || second.Version <= first.Version {
		t.Errorf("second write: got %+v, want a version above %d", second, first.Version)
	}
	if r := s.Apply(Command{Op: OpDeleteRecord, Key: "k", IfVersion: versionPtr(first.Version)}); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("deleted under an old version: got %v, want ErrConflict", r.Err)
	}
	s.Apply(Command{Op: OpDeleteRecord, Key: "k"})
	if third := put("c", versionPtr(0)); third.Version <= second.Version {
		t.Errorf("after a deletion: got version %d, want more than %d", third.Version, second.Version)
	}
	if r := put(strings.Repeat("x", maxRecordValueBytes+1), nil); !errors.Is(r.Err, ErrInvalid) {
		t.Errorf("value that is too large: got %v, want ErrInvalid", r.Err)
	}
}
