package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// standbys is how many keepers wait for a task beside the one that is to hold it: if
// that one is lost, the next is granted the lease at the very moment it ends.
const standbys = 1

// placement decides which keeper is to hold which task, alike at all keepers that see the
// same members. It reads no clock.
type placement struct {
	settle time.Duration
	since  map[string]time.Duration // by member: present without a break since then
}

// update takes the members in that are present now.
func (s *placement) update(present []string, now time.Duration) {
	if s.since == nil {
		s.since = make(map[string]time.Duration)
	}
	for m := range s.since {
		if !slices.Contains(present, m) {
			delete(s.since, m)
		}
	}
	for _, m := range present {
		if _, ok := s.since[m]; !ok {
			s.since[m] = now
		}
	}
}

// rank are the members in the order in which a task falls to them (rendezvous
// hashing): one that comes or goes moves its own tasks and no other.
func (s *placement) rank(task string) []string {
	type scored struct {
		name  string
		score uint64
	}
	var all []scored
	for m := range s.since {
		all = append(all, scored{m, xxhash.Sum64String(m + "\x00" + task)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = m.name
	}
	return names
}

// shouldClaim says whether a member is to claim a task: to hold it or to stand by.
func (s *placement) shouldClaim(task, self string) bool {
	return slices.Contains(s.rank(task)[:min(len(s.since), 1+standbys)], self)
}

// handOverTarget says whom the holder of a task is to hand it over to, if anybody. A member is
// given nothing before it has been present for a while: one that comes and goes moves
// nothing. Neither is one that does not wait for the task.
func (s *placement) handOverTarget(task, holder string, waiting []string, now time.Duration) (to string, hand bool) {
	ranked := s.rank(task)
	if len(ranked) == 0 || ranked[0] == holder || !slices.Contains(waiting, ranked[0]) || now-s.since[ranked[0]] < s.settle {
		return "", false
	}
	return ranked[0], true
}
