package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// model is a simple reference implementation of the list and its drain marks.
type model struct {
	entries map[string]Registration
	marks   map[string]string
}

func (m *model) list() map[string]Instance {
	l := make(map[string]Instance)
	for h, e := range m.entries {
		if e.Health = e.ReportedHealth; m.marks[h] != "" {
			e.Health = HealthDraining
		}
		l[h] = e.Instance
	}
	return l
}

// After random commands the state agrees with the model, its version never decreases and
// increases by one with each change of the list, and a watcher that applies the changes
// since its last version has the list. The changes come from this replica or from one that
// was restored from a snapshot.
func TestStateAgainstModel(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			s, m := newFoundedState(t), &model{make(map[string]Registration), make(map[string]string)}
			replica := newFoundedState(t)
			watchers := make([]map[string]Instance, 5)
			at := make([]uint64, len(watchers))
			for i := range watchers {
				watchers[i] = make(map[string]Instance)
			}
			host := func() string { return fmt.Sprint("s-", rng.IntN(8)) }
			by := func() string { return []string{"ops-a", "ops-b"}[rng.IntN(2)] }
			for step := range 3000 {
				var c Command
				h := host()
				old := m.entries[h]
				before, seq := m.list(), s.Seq()
				switch rng.IntN(6) {
				case 0, 1:
					c = Command{Op: OpRegister, Instance: newInstance(h), Session: fmt.Sprint("x", rng.IntN(2)), TTLMS: 1000}
					c.Instance.BornMS = int64(rng.IntN(4))
					if rng.IntN(4) == 0 {
						c.Instance.Health = HealthDraining
					}
				case 2:
					c = Command{Op: OpMark, Host: h, MarkedBy: by(), Draining: rng.IntN(2) == 0}
				case 3:
					c = Command{Op: OpRemove, Host: h}
				case 4:
					c = Command{Op: OpExpireSessions, ExpiredSessions: []SessionRef{{h, fmt.Sprint("x", rng.IntN(2))}, {host(), "x0"}}}
				case 5:
					c = Command{Op: Op(fmt.Sprint("op", rng.IntN(9)))}
				}
				if (c.Op == OpRegister || c.Op == OpRemove) && rng.IntN(4) == 0 {
					c.IfVersion = versionPtr([]uint64{0, old.Version, old.Version + 1}[rng.IntN(3)])
				}
				r := s.Apply(c)
				if again := replica.Apply(c); !reflect.DeepEqual(fmt.Sprint(again), fmt.Sprint(r)) {
					t.Fatalf("step %d: another replica: got %v, want %v", step, again, r)
				}
				switch c.Op {
				case OpRegister:
					same := old.Host != "" && old.Session == c.Session && old.ReportedHealth == c.Instance.Health && old.BornMS == c.Instance.BornMS
					taken := old.Host != "" && old.Session != c.Session && c.IfVersion == nil && c.Instance.BornMS <= old.BornMS
					conflict := c.IfVersion != nil && *c.IfVersion != old.Version
					if want := !same && (taken || conflict); (r.Err != nil) != want {
						t.Fatalf("step %d: register: got error %v, want one: %v", step, r.Err, want)
					} else if !want {
						m.entries[h] = Registration{Instance: *c.Instance, Session: c.Session, ReportedHealth: c.Instance.Health, Version: r.Version}
					}
				case OpMark:
					wrong := (c.Draining && old.Host == "" && m.marks[h] == "") || (m.marks[h] != "" && m.marks[h] != c.MarkedBy)
					if (r.Err != nil) != wrong {
						t.Fatalf("step %d: mark: got error %v, want one: %v", step, r.Err, wrong)
					}
					if !wrong && c.Draining {
						m.marks[h] = c.MarkedBy
					} else if !wrong {
						delete(m.marks, h)
					}
				case OpRemove:
					if wrong := old.Host != "" && c.IfVersion != nil && *c.IfVersion != old.Version; (r.Err != nil) != wrong {
						t.Fatalf("step %d: remove: got error %v, want one: %v", step, r.Err, wrong)
					} else if !wrong && old.Host != "" {
						delete(m.entries, h)
						delete(m.marks, h)
					}
				case OpExpireSessions:
					for _, x := range c.ExpiredSessions {
						if e := m.entries[x.Host]; e.Host != "" && e.Session == x.Session {
							delete(m.entries, x.Host)
						}
					}
				default:
					if !errors.Is(r.Err, ErrInvalid) {
						t.Fatalf("step %d: %s: got %v, want ErrInvalid", step, c.Op, r.Err)
					}
				}
				for h, e := range m.entries { // versions change with the list
					if got, ok := s.Registration(h); ok {
						e.Version = got.Version
						m.entries[h] = e
					}
				}
				want, got := m.list(), make(map[string]Instance)
				applyUpdate(got, s.FullList())
				if !sameList(got, want) {
					t.Fatalf("step %d, %s: got list %v, want %v", step, c.Op, got, want)
				}
				if differs := !sameList(before, want); s.Seq() < seq || (differs && s.Seq() != seq+1) {
					t.Fatalf("step %d: got version %d after %d, the list has changed: %v", step, s.Seq(), seq, differs)
				}
				source := s
				if rng.IntN(50) == 0 {
					text, err := json.Marshal(s)
					source = NewState()
					if err == nil {
						err = json.Unmarshal(text, source)
					}
					if err != nil {
						t.Fatal(err)
					}
					replica = source
				}
				i := rng.IntN(len(watchers))
				l := source.ChangesSince(at[i])
				applyUpdate(watchers[i], l)
				if at[i] = l.Seq; !sameList(watchers[i], want) || l.Seq != s.Seq() {
					t.Fatalf("step %d: a watcher: got %v, want %v", step, watchers[i], want)
				}
			}
		})
	}
}

func TestStateLimits(t *testing.T) {
	s := newFoundedState(t)
	for i := range maxInstances {
		if r := s.Apply(Command{Op: OpRegister, Instance: newInstance(fmt.Sprint("s-", i))}); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	seq := s.Seq()
	if r := s.Apply(Command{Op: OpRegister, Instance: newInstance("one-more")}); !errors.Is(r.Err, ErrLimitReached) || s.Seq() != seq {
		t.Errorf("one instance too many: got %v, want ErrLimitReached", r.Err)
	}
	for i := range maxRecords {
		s.Apply(Command{Op: OpPutRecord, Key: fmt.Sprint("k", i), Value: []byte("v")})
	}
	if r := s.Apply(Command{Op: OpPutRecord, Key: "one-more"}); !errors.Is(r.Err, ErrLimitReached) {
		t.Errorf("one record too many: got %v, want ErrLimitReached", r.Err)
	}
}

func TestGroupIsFoundedOnce(t *testing.T) {
	s := NewState()
	if r := s.Apply(Command{Op: OpRegister, Instance: newInstance("a")}); !errors.Is(r.Err, ErrInvalid) {
		t.Errorf("before the group was founded: got %v, want ErrInvalid", r.Err)
	}
	if r := s.Apply(Command{Op: OpFoundGroup, Group: "a", AtMS: 0}); r.Err == nil {
		t.Error("founded without a time: got no error, want one")
	}
	one := s.Apply(Command{Op: OpFoundGroup, Group: "a", AtMS: 1000})
	if again := s.Apply(Command{Op: OpFoundGroup, Group: "a", AtMS: 2000}); again.Err != nil || again.Version != one.Version {
		t.Errorf("founded again: got %+v, want version %d", again, one.Version)
	}
	if r := s.Apply(Command{Op: OpFoundGroup, Group: "b", AtMS: 2000}); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("founded as another group: got %v, want ErrConflict", r.Err)
	}
}

// FuzzCommand checks that no decodable command panics, decreases the version or makes
// changes inconsistent with the full list.
func FuzzCommand(f *testing.F) {
	f.Add([]byte(`{"op":"register","instance":{"host":"a","dial":"127.0.0.1:1","site":"z","health":"up","share":1},"session":"x"}`))
	f.Add([]byte(`{"op":"mark","hosts":["a","a"],"by":"x","draining":true,"if_version":7}`))
	f.Add([]byte(`{"op":"expire","ended":[{"host":"a","session":"x"},{"host":"a","session":"x"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var c Command
		if json.Unmarshal(text, &c) != nil {
			return
		}
		s := newFoundedState(t)
		s.Apply(Command{Op: OpRegister, Instance: newInstance("a"), Session: "x"})
		seq, held := s.Seq(), make(map[string]Instance)
		applyUpdate(held, s.FullList())
		r := s.Apply(c)
		if s.Seq() < seq || r.Seq != s.Seq() {
			t.Errorf("got version %d in the result and %d in the state, after %d", r.Seq, s.Seq(), seq)
		}
		applyUpdate(held, s.ChangesSince(seq))
		want := make(map[string]Instance)
		if applyUpdate(want, s.FullList()); !sameList(held, want) {
			t.Errorf("a watcher: got %v, want %v", held, want)
		}
	})
}
