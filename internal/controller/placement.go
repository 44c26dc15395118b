package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// standbys is how many controllers wait for a task beside the one that should hold it. If that
// one is lost, the registry grants the lease to the next at the moment it ends.
const standbys = 1

// placement decides which controller should hold which task. All controllers that see the same
// members decide alike. It reads no clock.
type placement struct {
	settle time.Duration            // for how long a member has to be present to be handed a task
	since  map[string]time.Duration // by member: since when it is present without a break
}

// update sets the members that are present now.
func (p *placement) update(present []string, now time.Duration) {
	if p.since == nil {
		p.since = make(map[string]time.Duration)
	}
	for member := range p.since {
		if !slices.Contains(present, member) {
			delete(p.since, member)
		}
	}
	for _, member := range present {
		if _, known := p.since[member]; !known {
			p.since[member] = now
		}
	}
}

// rank returns the members in the order in which they should hold a task, by rendezvous
// hashing: a member that comes or goes moves its own tasks and no others.
func (p *placement) rank(task string) []string {
	type scored struct {
		member string
		score  uint64
	}
	var all []scored
	for member := range p.since {
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
	return slices.Contains(p.rank(task)[:min(len(p.since), 1+standbys)], member)
}

// handOverTarget returns the member to which the holder of a task should hand it over, if any.
// That member has to wait for the task, and to have been present for a while: one that comes
// and goes moves nothing.
func (p *placement) handOverTarget(task, holder string, waiting []string, now time.Duration) (target string, ok bool) {
	ranked := p.rank(task)
	if len(ranked) == 0 || ranked[0] == holder {
		return "", false
	}
	target = ranked[0]
	if !slices.Contains(waiting, target) || now-p.since[target] < p.settle {
		return "", false
	}
	return target, true
}
