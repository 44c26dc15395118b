package registry

import (
	"encoding/json"
	"testing"
)

// FuzzSnapshot: a snapshot that cannot be a state's is rejected and leaves the state
// unchanged; one that is accepted can be written and read again.
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
				t.Error("a rejected snapshot has changed the state")
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
			t.Errorf("the snapshot that it wrote cannot be read: %v", err)
		}
	})
}
