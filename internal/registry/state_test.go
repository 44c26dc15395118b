package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

func instance(host string) *Instance {
	block := 3
	return &Instance{Host: host, Dial: "127.0.0.1:7070", Site: "milano-a", Class: "m2", Block: &block, Health: HealthUp, Share: 1, BornMS: 5}
}

func founded(t testing.TB) *State {
	t.Helper()
	s := NewState()
	if r := s.Apply(Command{Op: OpFoundGroup, Group: "prenota", AtMS: 1_800_000_000_000}); r.Err != nil {
		t.Fatal(r.Err)
	}
	return s
}

func version(v uint64) *uint64 { return &v }

// follow is what an unchanged sidecar makes of one answer.
func follow(held map[string]Instance, l ListUpdate) {
	if l.Full {
		clear(held)
	}
	for _, i := range l.Instances {
		if i.Health == HealthRemoved {
			delete(held, i.Host)
		} else {
			held[i.Host] = i
		}
	}
}

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

func same(a, b map[string]Instance) bool {
	return maps.EqualFunc(a, b, func(x, y Instance) bool { return x.equal(y) })
}

// Versions that the log does not tell of bring the whole list: older than it,
// newer than the state, or of another group's history.
func TestOtherVersionsBringTheWholeList(t *testing.T) {
	s := founded(t)
	for i := range maxListChanges + 10 {
		c := instance("s-1")
		c.BornMS = int64(i)
		s.Apply(Command{Op: OpRegister, Instance: c, Session: "x"})
	}
	other := NewState()
	other.Apply(Command{Op: OpFoundGroup, Group: "other", AtMS: 1_800_000_000_000 + 60_000})
	for name, from := range map[string]uint64{
		"none": 0, "first": s.FirstVersion(), "just before the log": s.Seq() - maxListChanges - 1, "next": s.Seq() + 1,
		"highest": math.MaxUint64, "another group's": other.Seq(),
	} {
		if l := s.ChangesSince(from); !l.Full || len(l.Instances) != 1 || l.Seq != s.Seq() {
			t.Errorf("%s: %+v, want the whole list", name, l)
		}
	}
	if l := other.ChangesSince(s.Seq()); !l.Full {
		t.Error("an older group's version was taken for one of this history")
	}
	for _, from := range []uint64{s.Seq() - maxListChanges, s.Seq() - 1} {
		if l := s.ChangesSince(from); l.Full || len(l.Instances) != 1 {
			t.Errorf("from %d: %+v, want the change", s.Seq()-from, l)
		}
	}
	if l := s.ChangesSince(s.Seq()); l.Full || len(l.Instances) != 0 {
		t.Errorf("from the newest: %+v, want nothing", l)
	}
	if len(s.changes) > maxListChanges {
		t.Errorf("the log has grown to %d", len(s.changes))
	}
}

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

func TestBadInstances(t *testing.T) {
	for name, spoil := range map[string]func(i *Instance){
		"no host":         func(i *Instance) { i.Host = "" },
		"a long host":     func(i *Instance) { i.Host = strings.Repeat("x", maxNameLength+1) },
		"a line break":    func(i *Instance) { i.Host = "a\nb" },
		"a path":          func(i *Instance) { i.Host = "a/../b" },
		"no port":         func(i *Instance) { i.Dial = "127.0.0.1" },
		"port 0":          func(i *Instance) { i.Dial = "127.0.0.1:0" },
		"another network": func(i *Instance) { i.Dial = "10.0.0.1:80" },
		"a name":          func(i *Instance) { i.Dial = "localhost:80" },
		"no site":         func(i *Instance) { i.Site = "" },
		"removed":         func(i *Instance) { i.Health = HealthRemoved },
		"no health":       func(i *Instance) { i.Health = "" },
		"no share":        func(i *Instance) { i.Share = 0 },
		"no number":       func(i *Instance) { i.Share = math.NaN() },
		"endless":         func(i *Instance) { i.Share = math.Inf(1) },
		"before 1970":     func(i *Instance) { i.BornMS = -1 },
		"a negative cell": func(i *Instance) { n := -1; i.Block = &n },
	} {
		i := instance("s")
		spoil(i)
		s := founded(t)
		seq := s.Seq()
		if r := s.Apply(Command{Op: OpRegister, Instance: i}); !errors.Is(r.Err, ErrInvalid) || strings.Contains(r.Err.Error(), "\n") || s.Seq() != seq {
			t.Errorf("%s: error %v, want one plain line", name, r.Err)
		}
	}
	if err := instance("s-1").Check(); err != nil {
		t.Error(err)
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

func TestSessions(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	entries := func(n int) []Registration {
		var all []Registration
		for i := range n {
			all = append(all, Registration{Instance: *instance(fmt.Sprint(i)), Session: "x", TTLMS: 1000})
		}
		return append(all, Registration{Instance: *instance("for ever")})
	}
	const floor = 0.6
	s := NewSessionTracker(floor, time.Minute)
	s.Sync(entries(10), begin)
	renew := func(from, to int, at time.Time) {
		for i := from; i < to; i++ {
			if !s.Renew(fmt.Sprint(i), "x", at) {
				t.Errorf("session %d is not known", i)
			}
		}
	}
	if s.Renew("0", "another", begin) || s.Renew("for ever", "", begin) || s.Renew("nobody", "x", begin) {
		t.Error("a session was renewed that there is not")
	}
	at := begin.Add(900 * time.Millisecond)
	renew(3, 10, at)
	if ended, held, _ := s.Expired(at); len(ended) != 0 || held {
		t.Errorf("too early: %v, %v", ended, held)
	}
	at = begin.Add(time.Second)
	ended, held, _ := s.Expired(at)
	if !slices.Equal(ended, []SessionRef{{"0", "x"}, {"1", "x"}, {"2", "x"}}) || held {
		t.Errorf("ended %v, held %v, want the three that were not renewed", ended, held)
	}
	s.Sync(entries(10)[3:], at) // and removed
	// Another two at once would leave 5 of the 10 there were: the part that is kept.
	renew(3, 8, at.Add(500*time.Millisecond))
	at = begin.Add(1900 * time.Millisecond)
	if ended, held, changed := s.Expired(at); len(ended) != 0 || !held || !changed {
		t.Errorf("mass expiry: %v, held %v, changed %v", ended, held, changed)
	}
	if _, held, changed := s.Expired(at); !held || changed {
		t.Errorf("still: held %v, changed %v", held, changed)
	}
	renew(8, 9, at)
	if ended, held, changed := s.Expired(at); len(ended) != 1 || held || !changed {
		t.Errorf("one is back: %v, held %v, changed %v", ended, held, changed)
	}
	// What there was long ago does not count for ever, but silence for long is no proof.
	later := at.Add(2 * time.Minute)
	if ended, held, _ := s.Expired(later); len(ended) != 0 || !held {
		t.Errorf("all silent: %v, held %v", ended, held)
	}
	renew(3, 9, later)
	if ended, held, _ := s.Expired(later); len(ended) != 1 || held {
		t.Errorf("after a while: %v, held %v, want the one that stayed away", ended, held)
	}
	// A new leader begins anew: each has its full time.
	fresh := NewSessionTracker(floor, time.Minute)
	fresh.Sync(entries(10), later)
	if ended, _, _ := fresh.Expired(later.Add(999 * time.Millisecond)); len(ended) != 0 {
		t.Errorf("a new leader removed %v before their time", ended)
	}
}
