package registry

import (
	"cmp"
	"maps"
	"slices"
)

// ListUpdate is a message of the endpoint list: the full list, or the changes since the
// requested version.
type ListUpdate struct {
	Seq       uint64     `json:"seq"`
	Full      bool       `json:"whole"`
	Instances []Instance `json:"hosts"`
}

// listChange records that a host's entry changed in a version of the list. The current
// entry is in the host's registration.
type listChange struct {
	Seq  uint64 `json:"seq"`
	Host string `json:"host"`
}

// compareSeq orders changes by version.
func (c listChange) compareSeq(d listChange) int { return cmp.Compare(c.Seq, d.Seq) }

// bumpVersion advances the list's version and records that the hosts changed in it. Without
// hosts it does nothing.
func (s *State) bumpVersion(hosts ...string) {
	if len(hosts) == 0 {
		return
	}
	s.seq++
	for _, host := range hosts {
		if r := s.registrations[host]; r != nil {
			r.Version = s.seq
		}
		s.changes = append(s.changes, listChange{s.seq, host})
	}
	s.trimChanges()
}

// trimChanges bounds the log of changes. It never drops only some of a version's changes.
func (s *State) trimChanges() {
	excess := len(s.changes) - maxListChanges
	if excess <= 0 {
		return
	}
	s.changesAfter = s.changes[excess-1].Seq
	for excess < len(s.changes) && s.changes[excess].Seq == s.changesAfter {
		excess++
	}
	s.changes = slices.Delete(s.changes, 0, excess)
}

// FullList returns all instances.
func (s *State) FullList() ListUpdate {
	u := ListUpdate{Seq: s.seq, Full: true, Instances: make([]Instance, 0, len(s.registrations))}
	for _, host := range slices.Sorted(maps.Keys(s.registrations)) {
		u.Instances = append(u.Instances, s.registrations[host].Instance)
	}
	return u
}

// ChangesSince returns the current entries of the hosts that changed after a version. It
// returns the full list if the log of changes does not cover the version, which is then
// too old, newer than the list, or of another history.
func (s *State) ChangesSince(version uint64) ListUpdate {
	if version < s.changesAfter || version > s.seq {
		return s.FullList()
	}
	first, _ := slices.BinarySearchFunc(s.changes, listChange{Seq: version + 1}, listChange.compareSeq)
	changed := make(map[string]bool)
	for _, c := range s.changes[first:] {
		changed[c.Host] = true
	}
	u := ListUpdate{Seq: s.seq, Instances: make([]Instance, 0, len(changed))}
	for _, host := range slices.Sorted(maps.Keys(changed)) {
		if r := s.registrations[host]; r != nil {
			u.Instances = append(u.Instances, r.Instance)
		} else {
			u.Instances = append(u.Instances, Instance{Host: host, Health: HealthRemoved})
		}
	}
	return u
}
