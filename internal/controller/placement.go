package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// standbys is the number of controllers that queue for a task's lease besides the preferred holder.
// When the holder is lost, the registry grants the lease to the standby as soon as it expires.
const standbys = 1

// placement assigns tasks to controllers. All controllers that see the same members compute the same
// assignment. It reads no clock; callers pass the time.
type placement struct {
	settleTime   time.Duration            // how long a member has to be present before a task is handed over to it
	presentSince map[string]time.Duration // by member: start of its uninterrupted presence
}

// update sets the members that are present.
func (p *placement) update(present []string, now time.Duration) {
	if p.presentSince == nil {
		p.presentSince = make(map[string]time.Duration)
	}
	for member := range p.presentSince {
		if !slices.Contains(present, member) {
			delete(p.presentSince, member)
		}
	}
	for _, member := range present {
		if _, known := p.presentSince[member]; !known {
			p.presentSince[member] = now
		}
	}
}

// rank returns the members in the order of preference for a task, by rendezvous hashing: when a
// member joins or leaves, only the tasks that it is preferred for move.
func (p *placement) rank(task string) []string {
	type scored struct {
		member string
		score  uint64
	}
	var all []scored
	for member := range p.presentSince {
		all = append(all, scored{member, xxhash.Sum64String(member + "\x00" + task)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member, b.member))
	})
	members := make([]string, len(all))
	for i, s := range all {
		members[i] = s.member
	}
	return members
}

// shouldClaim reports whether a member should claim a task, in order to hold it or as a standby.
func (p *placement) shouldClaim(task, member string) bool {
	return slices.Contains(p.rank(task)[:min(len(p.presentSince), 1+standbys)], member)
}

// handOverTarget returns the member to which the holder of a task should hand it over, if any. That
// member has to be queued for the task's lease and to have been present for settleTime, so that a
// member that joins and leaves repeatedly causes no hand-overs.
func (p *placement) handOverTarget(task, holder string, waiting []string, now time.Duration) (target string, ok bool) {
	ranked := p.rank(task)
	if len(ranked) == 0 || ranked[0] == holder {
		return "", false
	}
	target = ranked[0]
	if !slices.Contains(waiting, target) || now-p.presentSince[target] < p.settleTime {
		return "", false
	}
	return target, true
}
