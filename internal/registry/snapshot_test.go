package registry

import (
	"encoding/json"
	"testing"
)

// FuzzSnapshot: what cannot be a state is refused and leaves nothing behind; what
// is taken can be written and read again.
func FuzzSnapshot(f *testing.F) {
	s := founded(f)
	s.Apply(Command{Op: OpRegister, Instance: instance("a"), Session: "x", TTLMS: 5})
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
				t.Error("a refused snapshot has left something behind")
			}
			return
		}
		s.FullList()
		s.ChangesSince(s.Seq())
		s.Apply(Command{Op: OpRegister, Instance: instance("b")})
		out, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(out, NewState()); err != nil {
			t.Errorf("cannot read what it wrote: %v", err)
		}
	})
}
