package registry

import (
	"cmp"
	"maps"
	"slices"
)

// listChange is one host's listChange. What it changed to is the entry's to tell.
type listChange struct {
	Seq  uint64 `json:"seq"`
	Host string `json:"host"`
}

// bumpVersion gives the list its next version, with these hosts bumpVersion in it.
func (s *State) bumpVersion(hosts ...string) {
	if len(hosts) == 0 {
		return
	}
	s.seq++
	for _, h := range hosts {
		if e := s.registrations[h]; e != nil {
			e.Version = s.seq
		}
		s.changes = append(s.changes, listChange{s.seq, h})
	}
	if over := len(s.changes) - maxListChanges; over > 0 {
		s.changesAfter = s.changes[over-1].Seq
		for over < len(s.changes) && s.changes[over].Seq == s.changesAfter { // a version goes whole or not at all
			over++
		}
		s.changes = slices.Delete(s.changes, 0, over)
	}
}

// FullList returns the list.
func (s *State) FullList() ListUpdate {
	l := ListUpdate{Seq: s.seq, Full: true, Instances: make([]Instance, 0, len(s.registrations))}
	for _, h := range slices.Sorted(maps.Keys(s.registrations)) {
		l.Instances = append(l.Instances, s.registrations[h].Instance)
	}
	return l
}

// ChangesSince returns what changed after a version: each host that did, as it is now.
// Where the log does not tell, for a version before it, after the newest or of
// another history, it is the whole list.
func (s *State) ChangesSince(from uint64) ListUpdate {
	if from < s.changesAfter || from > s.seq {
		return s.FullList()
	}
	at, _ := slices.BinarySearchFunc(s.changes, from+1, func(c listChange, v uint64) int { return cmp.Compare(c.Seq, v) })
	hosts := make(map[string]bool)
	for _, c := range s.changes[at:] {
		hosts[c.Host] = true
	}
	l := ListUpdate{Seq: s.seq, Instances: make([]Instance, 0, len(hosts))}
	for _, h := range slices.Sorted(maps.Keys(hosts)) {
		if e := s.registrations[h]; e != nil {
			l.Instances = append(l.Instances, e.Instance)
		} else {
			l.Instances = append(l.Instances, Instance{Host: h, Health: HealthRemoved})
		}
	}
	return l
}

// ListUpdate is what discovery answers: the whole list, or what has changed since
// the version that was asked for.
type ListUpdate struct {
	Seq       uint64     `json:"seq"`
	Full      bool       `json:"whole"`
	Instances []Instance `json:"hosts"`
}
