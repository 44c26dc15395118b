package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// model is what the state has to agree with: the plain rules, kept as maps.
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

// Whatever comes, the state agrees with the model, its version grows with each
// change and only then, and a watcher that reads from any version it has ever
// seen, at this replica or at one restored from a snapshot, holds the list.
func TestStateAgainstAModel(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			s, m := founded(t), &model{make(map[string]Registration), make(map[string]string)}
			replica := founded(t)
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
					c = Command{Op: OpRegister, Instance: instance(h), Session: fmt.Sprint("x", rng.IntN(2)), TTLMS: 1000}
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
					c.IfVersion = version([]uint64{0, old.Version, old.Version + 1}[rng.IntN(3)])
				}
				r := s.Apply(c)
				if again := replica.Apply(c); !reflect.DeepEqual(fmt.Sprint(again), fmt.Sprint(r)) {
					t.Fatalf("step %d: replicas disagree: %v and %v", step, r, again)
				}
				switch c.Op {
				case OpRegister:
					same := old.Host != "" && old.Session == c.Session && old.ReportedHealth == c.Instance.Health && old.BornMS == c.Instance.BornMS
					taken := old.Host != "" && old.Session != c.Session && c.IfVersion == nil && c.Instance.BornMS <= old.BornMS
					conflict := c.IfVersion != nil && *c.IfVersion != old.Version
					if want := !same && (taken || conflict); (r.Err != nil) != want {
						t.Fatalf("step %d: register: error %v, want one: %v", step, r.Err, want)
					} else if !want {
						m.entries[h] = Registration{Instance: *c.Instance, Session: c.Session, ReportedHealth: c.Instance.Health, Version: r.Version}
					}
				case OpMark:
					wrong := (c.Draining && old.Host == "" && m.marks[h] == "") || (m.marks[h] != "" && m.marks[h] != c.MarkedBy)
					if (r.Err != nil) != wrong {
						t.Fatalf("step %d: mark: error %v, want one: %v", step, r.Err, wrong)
					}
					if !wrong && c.Draining {
						m.marks[h] = c.MarkedBy
					} else if !wrong {
						delete(m.marks, h)
					}
				case OpRemove:
					if wrong := old.Host != "" && c.IfVersion != nil && *c.IfVersion != old.Version; (r.Err != nil) != wrong {
						t.Fatalf("step %d: remove: error %v, want one: %v", step, r.Err, wrong)
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
						t.Fatalf("step %d: %s: error %v", step, c.Op, r.Err)
					}
				}
				for h, e := range m.entries { // their versions move with what the list shows
					if got, ok := s.Registration(h); ok {
						e.Version = got.Version
						m.entries[h] = e
					}
				}
				want, got := m.list(), make(map[string]Instance)
				follow(got, s.FullList())
				if !same(got, want) {
					t.Fatalf("step %d, %s: the list is %v, want %v", step, c.Op, got, want)
				}
				if differs := !same(before, want); s.Seq() < seq || (differs && s.Seq() != seq+1) {
					t.Fatalf("step %d: version %d after %d, changed: %v", step, s.Seq(), seq, differs)
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
				follow(watchers[i], l)
				if at[i] = l.Seq; !same(watchers[i], want) || l.Seq != s.Seq() {
					t.Fatalf("step %d: a watcher holds %v, want %v", step, watchers[i], want)
				}
			}
		})
	}
}

func TestBounds(t *testing.T) {
	s := founded(t)
	for i := range maxInstances {
		if r := s.Apply(Command{Op: OpRegister, Instance: instance(fmt.Sprint("s-", i))}); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	seq := s.Seq()
	if r := s.Apply(Command{Op: OpRegister, Instance: instance("one-more")}); !errors.Is(r.Err, ErrLimitReached) || s.Seq() != seq {
		t.Errorf("one instance more: %v", r.Err)
	}
	for i := range maxRecords {
		s.Apply(Command{Op: OpPutRecord, Key: fmt.Sprint("k", i), Value: []byte("v")})
	}
	if r := s.Apply(Command{Op: OpPutRecord, Key: "one-more"}); !errors.Is(r.Err, ErrLimitReached) {
		t.Errorf("one record more: %v", r.Err)
	}
}

func TestGroupIsFoundedOnce(t *testing.T) {
	s := NewState()
	if r := s.Apply(Command{Op: OpRegister, Instance: instance("a")}); !errors.Is(r.Err, ErrInvalid) {
		t.Errorf("before the group was founded: %v", r.Err)
	}
	if r := s.Apply(Command{Op: OpFoundGroup, Group: "a", AtMS: 0}); r.Err == nil {
		t.Error("founded without a time")
	}
	one := s.Apply(Command{Op: OpFoundGroup, Group: "a", AtMS: 1000})
	if again := s.Apply(Command{Op: OpFoundGroup, Group: "a", AtMS: 2000}); again.Err != nil || again.Version != one.Version {
		t.Errorf("founded again: %+v", again)
	}
	if r := s.Apply(Command{Op: OpFoundGroup, Group: "b", AtMS: 2000}); !errors.Is(r.Err, ErrConflict) {
		t.Errorf("as another group: %v", r.Err)
	}
}

// FuzzCommand: no command that can be read crashes the state or breaks its versions.
func FuzzCommand(f *testing.F) {
	f.Add([]byte(`{"op":"register","instance":{"host":"a","dial":"127.0.0.1:1","site":"z","health":"up","share":1},"session":"x"}`))
	f.Add([]byte(`{"op":"mark","hosts":["a","a"],"by":"x","draining":true,"if_version":7}`))
	f.Add([]byte(`{"op":"expire","ended":[{"host":"a","session":"x"},{"host":"a","session":"x"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var c Command
		if json.Unmarshal(text, &c) != nil {
			return
		}
		s := founded(t)
		s.Apply(Command{Op: OpRegister, Instance: instance("a"), Session: "x"})
		seq, held := s.Seq(), make(map[string]Instance)
		follow(held, s.FullList())
		r := s.Apply(c)
		if s.Seq() < seq || r.Seq != s.Seq() {
			t.Errorf("version %d after %d, told %d", s.Seq(), seq, r.Seq)
		}
		follow(held, s.ChangesSince(seq))
		want := make(map[string]Instance)
		if follow(want, s.FullList()); !same(held, want) {
			t.Errorf("a watcher holds %v, want %v", held, want)
		}
	})
}
