package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"barleywick/internal/mutation"
)

// Status is how a member stands in somebody's view.
type Status string

// The statuses.
const (
	Present   Status = "present"
	Suspected Status = "suspected" // it has not answered lately; it may yet
	Lost      Status = "lost"      // silence: it ended, or is stopped, or cut off
	Left      Status = "left"      // it said goodbye
	Gone      Status = "gone"      // its process was seen to have ended, on its own machine
	Replaced  Status = "replaced"  // a later process has its name
)

// Here says whether a member with this status counts as there.
func (s Status) Here() bool { return s == Present || s == Suspected }

// over says whether the status is for good: that process does not come back.
func (s Status) over() bool { return s == Left || s == Gone || s == Replaced }

const (
	// maxMembers bounds a view, with those that are there no more.
	maxMembers = 4096
	// keepEnded is for how long those are kept whose end is sure, so that late news of
	// them change nothing.
	keepEnded = 2 * time.Minute
	// settled is for how many rounds nobody may have come or gone where all is whole again.
	settled = 2
	// TellDigests is to how many others a round tells what is seen.
	TellDigests = 3
)

// Standing is one member in a view.
type Standing struct {
	Info
	Status Status
	Since  time.Duration // on the view's clock
	By     string        // of Gone: who saw it; of Replaced: by which key
	until  time.Duration // of Suspected: when that passes
}

// View is what one process knows of the others, and of how much of the fleet it sees: a
// state machine without a clock, told the time as a reading that never goes back. It is
// not safe for concurrent use.
type View struct {
	self   string        // its own key
	forget time.Duration // after which one that is lost counts as never to come back

	all  map[string]*Standing
	side Side
	calm int              // rounds since somebody came or went
	said map[string]heard // what others said last of their views, by key
}

// heard is another member's word on its view.
type heard struct {
	digest uint64
	at     time.Duration
}

// Side is the part of the fleet that this process sees, where it does not see all.
type Side struct {
	Present int           // members here, this one among them
	Lost    int           // members that fell silent and said no goodbye
	Since   time.Duration // when the first of these was lost
	Healing time.Duration // when the first of them came back; 0: none has
	Ticks   int           // looks since then
}

// Apart says whether somebody is missing.
func (s Side) Apart() bool { return s.Lost > 0 && !mutation.SilentPartition }

// Minority says that more than half of the fleet was lost: whatever rests on numbers is
// not to be relied on here.
func (s Side) Minority() bool { return s.Apart() && 2*s.Lost > s.Lost+s.Present }

// NewView makes a view that holds this process alone.
func NewView(self Info, forget, now time.Duration) *View {
	v := &View{self: self.Key(), forget: forget, all: make(map[string]*Standing), said: make(map[string]heard)}
	v.Seen(self, now)
	return v
}

// Seen notes that a member is there, and reports whether that is news.
func (v *View) Seen(i Info, now time.Duration) (news bool) {
	s := v.all[i.Key()]
	switch {
	case s == nil:
		if len(v.all) >= maxMembers && !v.drop() {
			return false
		}
		v.all[i.Key()] = &Standing{Info: i, Status: Present, Since: now}
		v.replace(i.Name, now)
	case s.Status.over():
		return false // late news of a process that has ended
	case s.Status == Lost:
		if v.side.Healing == 0 { // it had not ended
			v.side.Healing, v.side.Ticks = now, 0
		}
		s.Info, s.Status, s.Since = i, Present, now
		v.replace(i.Name, now)
	case s.Info == i:
		return false
	default:
		s.Info = i
		return true
	}
	v.count()
	return true
}

// Suspect notes that a member does not answer somebody, which counts until a time: by
// then it has answered or is lost.
func (v *View) Suspect(key string, now, until time.Duration) (news bool) {
	s := v.all[key]
	if s == nil || key == v.self || !s.Status.Here() {
		return false
	}
	if news = s.Status == Present; news {
		s.Status, s.Since = Suspected, now
	}
	s.until = until
	return news
}

// Answers notes that a member has answered this process.
func (v *View) Answers(key string, now time.Duration) {
	if s := v.all[key]; s != nil && s.Status == Suspected {
		s.Status, s.Since = Present, now
	}
}

// replace notes that of the processes with one name the latest one counts.
func (v *View) replace(name string, now time.Duration) {
	latest, _ := v.Named(name)
	for _, s := range v.all {
		if s.Name == name && s.Incarnation < latest.Incarnation && !s.Status.over() {
			s.Status, s.Since, s.By = Replaced, now, latest.Key()
		}
	}
}

// Silent notes that a member was given up for its silence, or said goodbye.
func (v *View) Silent(key string, goodbye bool, now time.Duration) (news bool) {
	s := v.all[key]
	if s == nil || key == v.self || s.Status.over() || s.Status == Lost && !goodbye {
		return false
	}
	if s.Status, s.Since = Lost, now; goodbye {
		s.Status = Left
	}
	v.count()
	if v.side.Since == 0 && v.side.Lost > 0 {
		v.side.Since = now
	}
	v.side.Healing = 0
	return true
}

// SeenGone notes that a process has ended, as one on its own machine has seen. The word
// of one elsewhere is no evidence.
func (v *View) SeenGone(key, by string, now time.Duration) (news bool) {
	s, witness := v.all[key], v.all[by]
	if s == nil || witness == nil || key == v.self || s.Status.over() || s.Machine == "" || s.Machine != witness.Machine {
		return false
	}
	s.Status, s.Since, s.By = Gone, now, by
	v.count()
	return true
}

// returned notes that one that was lost is back: it had not ended.
func (v *View) returned(now time.Duration) {
	if v.side.Healing == 0 {
		v.side.Healing, v.side.Ticks = now, 0
	}
}

// count brings the sides' sizes up to date after somebody came or went.
func (v *View) count() {
	v.calm, v.side.Present, v.side.Lost = 0, 0, 0
	for _, s := range v.all {
		switch {
		case s.Status.Here():
			v.side.Present++
		case s.Status == Lost:
			v.side.Lost++
		}
	}
	if v.side.Lost == 0 {
		v.side.Since = 0
	}
}

// drop makes room by forgetting who has ended longest ago.
func (v *View) drop() bool {
	var oldest *Standing
	for _, s := range v.all {
		if !s.Status.Here() && (oldest == nil || s.Since < oldest.Since) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(v.all, oldest.Key())
	return true
}

// Tick forgets what is long past. It is called once a round, and returns how many rounds
// a partition took to heal when it just has.
func (v *View) Tick(now time.Duration) (healed int, done bool) {
	maps.DeleteFunc(v.all, func(_ string, s *Standing) bool {
		return s.Status == Lost && now-s.Since > v.forget || s.Status.over() && now-s.Since > keepEnded && s.Key() != v.self
	})
	for _, s := range v.all {
		if s.Status == Suspected && now >= s.until {
			s.Status, s.Since = Present, now
		}
	}
	maps.DeleteFunc(v.said, func(key string, _ heard) bool { return v.all[key] == nil || !v.all[key].Status.Here() })
	calm := v.calm
	v.count()
	v.calm = calm
	v.calm++
	if v.side.Healing == 0 {
		return 0, false
	}
	v.side.Ticks++
	// Whoever came back may be the first of many, and who spoke last may have spoken before.
	if agree, known := v.Agreement(v.side.Healing); agree < known || known < min(TellDigests, v.side.Present-1) || !v.Settled() {
		return 0, false
	}
	v.side.Healing = 0
	return v.side.Ticks, true
}

// Forget takes a member that was lost for one that never comes back, at an operator's word.
func (v *View) Forget(name string, now time.Duration) (some int) {
	for _, s := range v.all {
		if s.Name == name && s.Status == Lost {
			s.Status, s.Since, s.By = Gone, now, "an operator"
			some++
		}
	}
	v.count()
	return some
}

// Said notes what another member said of its view.
func (v *View) Said(key string, digest uint64, now time.Duration) {
	if s := v.all[key]; s != nil && s.Status.Here() && key != v.self {
		v.said[key] = heard{digest, now}
	}
}

// Agreement is how many of those who spoke of their views since a time have the same as
// this one, and how many spoke.
func (v *View) Agreement(since time.Duration) (agree, known int) {
	own := v.Digest()
	for _, h := range v.said {
		if h.at < since {
			continue
		}
		if known++; h.digest == own {
			agree++
		}
	}
	return agree, known
}

// Differ are the members that have said last that they see another fleet.
func (v *View) Differ(since time.Duration) (keys []string) {
	own := v.Digest()
	for key, h := range v.said {
		if h.at >= since && h.digest != own {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Settled says that nobody has come or gone for some rounds: whose views differ still has
// missed something.
func (v *View) Settled() bool { return v.calm > settled }

// Digest is alike for views that hold the same members as present. Suspicion is not in
// it: it passes in a moment, one way or the other.
func (v *View) Digest() uint64 {
	keys := make([]string, 0, len(v.all))
	for key, s := range v.all {
		if s.Status.Here() {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return xxhash.Sum64String(strings.Join(keys, " "))
}

// Side is what this process sees of the fleet.
func (v *View) Side() Side { return v.side }

// Get returns a member by its key.
func (v *View) Get(key string) (Standing, bool) {
	if s := v.all[key]; s != nil {
		return *s, true
	}
	return Standing{}, false
}

// Named is the latest process of a name.
func (v *View) Named(name string) (s Standing, ok bool) {
	for _, other := range v.all {
		if other.Name == name && (!ok || other.Incarnation > s.Incarnation) {
			s, ok = *other, true
		}
	}
	return s, ok
}

// List returns all members by name, of one name the latest first.
func (v *View) List() []Standing {
	all := make([]Standing, 0, len(v.all))
	for _, s := range v.all {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Incarnation, a.Incarnation))
	})
	return all
}
