package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMembers bounds a view, with those that are there no more.
	maxMembers = 4096
	// endedRetention is for how long those are kept whose end is sure, so that late news of
	// them change nothing.
	endedRetention = 2 * time.Minute
	// stableRounds is for how many rounds nobody may have come or gone where all is whole again.
	stableRounds = 2
	// DigestFanout is to how many others a round tells what is seen.
	DigestFanout = 3
)

// View is what one process knows of the others, and of how much of the fleet it sees: a
// state machine without a clock, told the time as a reading that never goes back. It is
// not safe for concurrent use.
type View struct {
	selfKey     string        // its own key
	forgetAfter time.Duration // after which one that is lost counts as never to come back

	members           map[string]*Member
	partition         PartitionState
	roundsSinceChange int                   // rounds since somebody came or went
	digests           map[string]peerDigest // what others said last of their views, by key
}

// peerDigest is another member's word on its view.
type peerDigest struct {
	digest uint64
	at     time.Duration
}

// NewView makes a view that holds this process alone.
func NewView(self Info, forget, now time.Duration) *View {
	v := &View{selfKey: self.Key(), forgetAfter: forget, members: make(map[string]*Member), digests: make(map[string]peerDigest)}
	v.MarkPresent(self, now)
	return v
}

// MarkPresent notes that a member is there, and reports whether that is news.
func (v *View) MarkPresent(i Info, now time.Duration) (news bool) {
	s := v.members[i.Key()]
	switch {
	case s == nil:
		if len(v.members) >= maxMembers && !v.evictOldest() {
			return false
		}
		v.members[i.Key()] = &Member{Info: i, Status: StatusPresent, StatusSince: now}
		v.markReplaced(i.Name, now)
	case s.Status.final():
		return false // late news of a process that has ended
	case s.Status == StatusUnreachable:
		if v.partition.HealingSince == 0 { // it had not ended
			v.partition.HealingSince, v.partition.HealingRounds = now, 0
		}
		s.Info, s.Status, s.StatusSince = i, StatusPresent, now
		v.markReplaced(i.Name, now)
	case s.Info == i:
		return false
	default:
		s.Info = i
		return true
	}
	v.recount()
	return true
}

// MarkSuspected notes that a member does not answer somebody, which counts until a time: by
// then it has answered or is lost.
func (v *View) MarkSuspected(key string, now, until time.Duration) (news bool) {
	s := v.members[key]
	if s == nil || key == v.selfKey || !s.Status.CountsAsPresent() {
		return false
	}
	if news = s.Status == StatusPresent; news {
		s.Status, s.StatusSince = StatusSuspected, now
	}
	s.suspectedUntil = until
	return news
}

// MarkResponded notes that a member has answered this process.
func (v *View) MarkResponded(key string, now time.Duration) {
	if s := v.members[key]; s != nil && s.Status == StatusSuspected {
		s.Status, s.StatusSince = StatusPresent, now
	}
}

// markReplaced notes that of the processes with one name the latest one counts.
func (v *View) markReplaced(name string, now time.Duration) {
	latest, _ := v.Latest(name)
	for _, s := range v.members {
		if s.Name == name && s.Incarnation < latest.Incarnation && !s.Status.final() {
			s.Status, s.StatusSince, s.By = StatusReplaced, now, latest.Key()
		}
	}
}

// MarkUnreachable notes that a member was given up for its silence, or said goodbye.
func (v *View) MarkUnreachable(key string, goodbye bool, now time.Duration) (news bool) {
	s := v.members[key]
	if s == nil || key == v.selfKey || s.Status.final() || s.Status == StatusUnreachable && !goodbye {
		return false
	}
	if s.Status, s.StatusSince = StatusUnreachable, now; goodbye {
		s.Status = StatusLeft
	}
	v.recount()
	if v.partition.Since == 0 && v.partition.Unreachable > 0 {
		v.partition.Since = now
	}
	v.partition.HealingSince = 0
	return true
}

// MarkEnded notes that a process has ended, as one on its own machine has seen. The word
// of one elsewhere is no evidence.
func (v *View) MarkEnded(key, by string, now time.Duration) (news bool) {
	s, witness := v.members[key], v.members[by]
	if s == nil || witness == nil || key == v.selfKey || s.Status.final() || s.MachineID == "" || s.MachineID != witness.MachineID {
		return false
	}
	s.Status, s.StatusSince, s.By = StatusEnded, now, by
	v.recount()
	return true
}

// startHealing notes that one that was lost is back: it had not ended.
func (v *View) startHealing(now time.Duration) {
	if v.partition.HealingSince == 0 {
		v.partition.HealingSince, v.partition.HealingRounds = now, 0
	}
}

// recount brings the sides' sizes up to date after somebody came or went.
func (v *View) recount() {
	v.roundsSinceChange, v.partition.Present, v.partition.Unreachable = 0, 0, 0
	for _, s := range v.members {
		switch {
		case s.Status.CountsAsPresent():
			v.partition.Present++
		case s.Status == StatusUnreachable:
			v.partition.Unreachable++
		}
	}
	if v.partition.Unreachable == 0 {
		v.partition.Since = 0
	}
}

// evictOldest makes room by forgetting who has ended longest ago.
func (v *View) evictOldest() bool {
	var oldest *Member
	for _, s := range v.members {
		if !s.Status.CountsAsPresent() && (oldest == nil || s.StatusSince < oldest.StatusSince) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(v.members, oldest.Key())
	return true
}

// Tick forgets what is long past. It is called once a round, and returns how many rounds
// a partition took to heal when it just has.
func (v *View) Tick(now time.Duration) (healed int, done bool) {
	maps.DeleteFunc(v.members, func(_ string, s *Member) bool {
		return s.Status == StatusUnreachable && now-s.StatusSince > v.forgetAfter || s.Status.final() && now-s.StatusSince > endedRetention && s.Key() != v.selfKey
	})
	for _, s := range v.members {
		if s.Status == StatusSuspected && now >= s.suspectedUntil {
			s.Status, s.StatusSince = StatusPresent, now
		}
	}
	maps.DeleteFunc(v.digests, func(key string, _ peerDigest) bool {
		return v.members[key] == nil || !v.members[key].Status.CountsAsPresent()
	})
	calm := v.roundsSinceChange
	v.recount()
	v.roundsSinceChange = calm
	v.roundsSinceChange++
	if v.partition.HealingSince == 0 {
		return 0, false
	}
	v.partition.HealingRounds++
	// Whoever came back may be the first of many, and who spoke last may have spoken before.
	if agree, known := v.Agreement(v.partition.HealingSince); agree < known || known < min(DigestFanout, v.partition.Present-1) || !v.Stable() {
		return 0, false
	}
	v.partition.HealingSince = 0
	return v.partition.HealingRounds, true
}

// Forget takes a member that was lost for one that never comes back, at an operator's word.
func (v *View) Forget(name string, now time.Duration) (some int) {
	for _, s := range v.members {
		if s.Name == name && s.Status == StatusUnreachable {
			s.Status, s.StatusSince, s.By = StatusEnded, now, "an operator"
			some++
		}
	}
	v.recount()
	return some
}

// RecordDigest notes what another member said of its view.
func (v *View) RecordDigest(key string, digest uint64, now time.Duration) {
	if s := v.members[key]; s != nil && s.Status.CountsAsPresent() && key != v.selfKey {
		v.digests[key] = peerDigest{digest, now}
	}
}

// Agreement is how many of those who spoke of their views since a time have the same as
// this one, and how many spoke.
func (v *View) Agreement(since time.Duration) (agree, known int) {
	own := v.Digest()
	for _, h := range v.digests {
		if h.at < since {
			continue
		}
		if known++; h.digest == own {
			agree++
		}
	}
	return agree, known
}

// DifferingPeers are the members that have said last that they see another fleet.
func (v *View) DifferingPeers(since time.Duration) (keys []string) {
	own := v.Digest()
	for key, h := range v.digests {
		if h.at >= since && h.digest != own {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Stable says that nobody has come or gone for some rounds: whose views differ still has
// missed something.
func (v *View) Stable() bool { return v.roundsSinceChange > stableRounds }

// Digest is alike for views that hold the same members as present. Suspicion is not in
// it: it passes in a moment, one way or the other.
func (v *View) Digest() uint64 {
	keys := make([]string, 0, len(v.members))
	for key, s := range v.members {
		if s.Status.CountsAsPresent() {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return xxhash.Sum64String(strings.Join(keys, " "))
}

// Partition is what this process sees of the fleet.
func (v *View) Partition() PartitionState { return v.partition }

// Get returns a member by its key.
func (v *View) Get(key string) (Member, bool) {
	if s := v.members[key]; s != nil {
		return *s, true
	}
	return Member{}, false
}

// Latest is the latest process of a name.
func (v *View) Latest(name string) (s Member, ok bool) {
	for _, other := range v.members {
		if other.Name == name && (!ok || other.Incarnation > s.Incarnation) {
			s, ok = *other, true
		}
	}
	return s, ok
}

// List returns all members by name, of one name the latest first.
func (v *View) List() []Member {
	all := make([]Member, 0, len(v.members))
	for _, s := range v.members {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Incarnation, a.Incarnation))
	})
	return all
}
