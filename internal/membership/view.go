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
	// maxMembers bounds the members in a view, including those that have ended.
	maxMembers = 4096
	// endedRetention is how long a view keeps a member with a final status, so that late messages
	// about it have no effect.
	endedRetention = 2 * time.Minute
	// stableRounds is the number of rounds without a change of the present members after which views
	// are expected to agree.
	stableRounds = 2
	// operatorEvidence is Member.Evidence of a member that was forgotten on an operator's request.
	operatorEvidence = "an operator"
	// DigestFanout is the number of members to which a digest is sent each round.
	DigestFanout = 3
)

// View is one process's view of the fleet's members, and of how many of them it can reach. It is a
// state machine without a clock: its methods take the time as a reading of a monotonic clock. It is
// not safe for concurrent use.
type View struct {
	selfKey     string
	forgetAfter time.Duration // after which an unreachable member is dropped

	members           map[string]*Member // by key
	partition         PartitionState
	roundsSinceChange int                   // since the present members changed
	digests           map[string]peerDigest // the latest of each other member, by key
}

// peerDigest is the digest of another member's view, and the time at which it arrived.
type peerDigest struct {
	digest uint64
	at     time.Duration
}

// NewView makes a view that holds only this process.
func NewView(self Info, forgetAfter, now time.Duration) *View {
	v := &View{selfKey: self.Key(), forgetAfter: forgetAfter, members: make(map[string]*Member), digests: make(map[string]peerDigest)}
	v.MarkPresent(self, now)
	return v
}

// MarkPresent records that a member is running, with its metadata, and reports whether
// that changes the view.
func (v *View) MarkPresent(info Info, now time.Duration) (changed bool) {
	member := v.members[info.Key()]
	switch {
	case member == nil:
		if len(v.members) >= maxMembers && !v.evictOldest() {
			return false
		}
		v.members[info.Key()] = &Member{Info: info, Status: StatusPresent, StatusSince: now}
		v.markReplaced(info.Name, now)
	case member.Status.final():
		return false // a late message from a process that has ended
	case member.Status == StatusUnreachable:
		v.partition.startHealing(now)
		member.Info = info
		member.setStatus(StatusPresent, now)
		v.markReplaced(info.Name, now)
	case member.Info == info:
		return false
	default:
		member.Info = info
		return true
	}
	v.recount()
	return true
}

// MarkSuspected records that a member did not answer a probe, and reports whether that
// changes the view. The suspicion expires at until; by then the member has answered or is
// unreachable.
func (v *View) MarkSuspected(key string, now, until time.Duration) (changed bool) {
	member := v.members[key]
	if member == nil || key == v.selfKey || !member.Status.CountsAsPresent() {
		return false
	}
	changed = member.Status == StatusPresent
	if changed {
		member.setStatus(StatusSuspected, now)
	}
	member.suspectedUntil = until
	return changed
}

// MarkResponded records that a member answered a probe of this process.
func (v *View) MarkResponded(key string, now time.Duration) {
	if member := v.members[key]; member != nil && member.Status == StatusSuspected {
		member.setStatus(StatusPresent, now)
	}
}

// markReplaced gives StatusReplaced to all processes of a name but the latest one.
func (v *View) markReplaced(name string, now time.Duration) {
	latest, _ := v.Latest(name)
	for _, member := range v.members {
		if member.Name == name && member.Incarnation < latest.Incarnation && !member.Status.final() {
			member.setStatus(StatusReplaced, now)
			member.Evidence = latest.Key()
		}
	}
}

// MarkUnreachable records that a member no longer answers, and reports whether that
// changes the view.
func (v *View) MarkUnreachable(key string, now time.Duration) (changed bool) {
	member := v.members[key]
	if member == nil || key == v.selfKey || member.Status.final() || member.Status == StatusUnreachable {
		return false
	}
	member.setStatus(StatusUnreachable, now)
	v.recount()
	if v.partition.Since == 0 {
		v.partition.Since = now
	}
	v.partition.HealingSince = 0
	return true
}

// MarkLeft records that a member has announced that it leaves, and reports whether that
// changes the view.
func (v *View) MarkLeft(key string, now time.Duration) (changed bool) {
	member := v.members[key]
	if member == nil || key == v.selfKey || member.Status.final() {
		return false
	}
	member.setStatus(StatusLeft, now)
	v.recount()
	v.partition.HealingSince = 0
	return true
}

// MarkEnded records that the process of a member has ended, and reports whether that
// changes the view. Only an observer on the process's own machine can detect its end.
func (v *View) MarkEnded(key, observerKey string, now time.Duration) (changed bool) {
	member, observer := v.members[key], v.members[observerKey]
	if member == nil || observer == nil || key == v.selfKey || member.Status.final() {
		return false
	}
	if member.MachineID == "" || member.MachineID != observer.MachineID {
		return false
	}
	member.setStatus(StatusEnded, now)
	member.Evidence = observerKey
	v.recount()
	return true
}

// recount updates the partition state after the present members have changed.
func (v *View) recount() {
	v.roundsSinceChange = 0
	v.countMembers()
}

func (v *View) countMembers() {
	v.partition.Present, v.partition.Unreachable = 0, 0
	for _, member := range v.members {
		switch {
		case member.Status.CountsAsPresent():
			v.partition.Present++
		case member.Status == StatusUnreachable:
			v.partition.Unreachable++
		}
	}
	if v.partition.Unreachable == 0 {
		v.partition.Since = 0
	}
}

// evictOldest drops the member that has been absent the longest, and reports whether there was one.
func (v *View) evictOldest() bool {
	var oldest *Member
	for _, member := range v.members {
		if !member.Status.CountsAsPresent() && (oldest == nil || member.StatusSince < oldest.StatusSince) {
			oldest = member
		}
	}
	if oldest == nil {
		return false
	}
	delete(v.members, oldest.Key())
	return true
}

// Tick is called once per round. It expires members, suspicions and digests. If a partition has
// healed in this round, it returns how many rounds that took.
func (v *View) Tick(now time.Duration) (rounds int, healed bool) {
	v.expire(now)
	v.countMembers()
	v.roundsSinceChange++
	if v.partition.HealingSince == 0 {
		return 0, false
	}
	v.partition.HealingRounds++
	if !v.Stable() || !v.agreesSince(v.partition.HealingSince) {
		return 0, false
	}
	v.partition.HealingSince = 0
	return v.partition.HealingRounds, true
}

func (v *View) expire(now time.Duration) {
	maps.DeleteFunc(v.members, func(key string, member *Member) bool {
		age := now - member.StatusSince
		if member.Status == StatusUnreachable {
			return age > v.forgetAfter
		}
		return member.Status.final() && age > endedRetention && key != v.selfKey
	})
	for _, member := range v.members {
		if member.Status == StatusSuspected && now >= member.suspectedUntil {
			member.setStatus(StatusPresent, now)
		}
	}
	maps.DeleteFunc(v.digests, func(key string, _ peerDigest) bool {
		return v.members[key] == nil || !v.members[key].Status.CountsAsPresent()
	})
}

// agreesSince reports whether enough digests have arrived since a time and all equal this
// view's. One is not enough, since more members may return after the first.
func (v *View) agreesSince(since time.Duration) bool {
	agreeing, compared := v.Agreement(since)
	return agreeing == compared && compared >= min(DigestFanout, v.partition.Present-1)
}

// Forget marks the unreachable members of a name as ended, on an operator's request, and
// returns how many there were.
func (v *View) Forget(name string, now time.Duration) (forgotten int) {
	for _, member := range v.members {
		if member.Name == name && member.Status == StatusUnreachable {
			member.setStatus(StatusEnded, now)
			member.Evidence = operatorEvidence
			forgotten++
		}
	}
	v.recount()
	return forgotten
}

// RecordDigest records the digest of another member's view.
func (v *View) RecordDigest(key string, digest uint64, now time.Duration) {
	if member := v.members[key]; member != nil && member.Status.CountsAsPresent() && key != v.selfKey {
		v.digests[key] = peerDigest{digest, now}
	}
}

// Agreement returns how many digests have arrived since a time, and how many of them equal
// this view's.
func (v *View) Agreement(since time.Duration) (agreeing, compared int) {
	own := v.Digest()
	for _, peer := range v.digests {
		if peer.at < since {
			continue
		}
		compared++
		if peer.digest == own {
			agreeing++
		}
	}
	return agreeing, compared
}

// DifferingPeers returns the keys of the members whose digest has arrived since a time and
// differs from this view's.
func (v *View) DifferingPeers(since time.Duration) (keys []string) {
	own := v.Digest()
	for key, peer := range v.digests {
		if peer.at >= since && peer.digest != own {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Stable reports whether the present members have not changed for some rounds. A peer whose view
// still differs then has missed a message.
func (v *View) Stable() bool { return v.roundsSinceChange > stableRounds }

// Digest returns a hash that is equal for views in which the same members count as present. It leaves
// out suspicions, since they are short-lived.
func (v *View) Digest() uint64 {
	keys := make([]string, 0, len(v.members))
	for key, member := range v.members {
		if member.Status.CountsAsPresent() {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return xxhash.Sum64String(strings.Join(keys, " "))
}

// Partition returns how many members are present and how many are unreachable, and since when.
func (v *View) Partition() PartitionState { return v.partition }

// Get returns a member by its key.
func (v *View) Get(key string) (Member, bool) {
	if member := v.members[key]; member != nil {
		return *member, true
	}
	return Member{}, false
}

// Latest returns the process of a name that started last.
func (v *View) Latest(name string) (latest Member, ok bool) {
	for _, member := range v.members {
		if member.Name == name && (!ok || member.Incarnation > latest.Incarnation) {
			latest, ok = *member, true
		}
	}
	return latest, ok
}

// List returns all members, sorted by name; the latest process of a name comes first.
func (v *View) List() []Member {
	all := make([]Member, 0, len(v.members))
	for _, member := range v.members {
		all = append(all, *member)
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Incarnation, a.Incarnation))
	})
	return all
}
