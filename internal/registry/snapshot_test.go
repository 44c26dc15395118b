package registry

import (
	"encoding/json"
	"testing"
)

// FuzzSnapshot checks that an inconsistent snapshot is rejected and leaves the state
// unchanged, and that an accepted one can be encoded and decoded again.
func FuzzSnapshot(f *testing.F) {
	s := newFoundedState(f)
	s.Apply(Command{Op: OpRegister, Instance: newInstance("a"), Session: "x", TTLMS: 5})
	s.Apply(Command{Op: OpMark, Host: "a", MarkedBy: "ops-a", Draining: true})
	s.Apply(Command{Op: OpPutRecord, Key: "k", Value: []byte("v")})
	text, _ := json.Marshal(s)
	f.Add(text)
	f.Add([]byte(`{"form":1}`))
	f.Add([]byte(`{"form":1,"group":"a","seq":9,"entries":{"a":null}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s := NewState()
		if err := json.Unmarshal(text, s); err != nil {
			if s.Group() != "" || s.Seq() != 0 {
				t.Error("rejected snapshot: the state has changed")
			}
			return
		}
		s.FullList()
		s.ChangesSince(s.Seq())
		s.Apply(Command{Op: OpRegister, Instance: newInstance("b")})
		out, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(out, NewState()); err != nil {
			t.Errorf("decoding the encoded snapshot: %v", err)
		}
	})
}
