package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"barleywick/internal/mutation"
)

const (
	maxRoster  = 4096
	maxEvicted = 1024
)

// Member is one incarnation of a sidecar. Of two with one name, the one with the higher
// incarnation started later.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// RosterMember is a sidecar that a rollout waits for, with the stage that it has acknowledged.
type RosterMember struct {
	Member
	JoinedMS    int64   `json:"joined_ms"`
	AckedChange uint64  `json:"change,omitempty"` // the last change that it acknowledged
	AckedStage  Stage   `json:"said,omitempty"`   // the stage of AckedChange that it acknowledged
	Process     Process `json:"where,omitzero"`

	// The first and the last counts that it reported during StageCanary of ReportedChange.
	ReportedChange uint64        `json:"reported,omitempty"`
	FirstReport    RequestCounts `json:"from,omitzero"`
	LastReport     RequestCounts `json:"to,omitzero"`
}

// join adds a sidecar to the roster. A later incarnation replaces its predecessor and has
// acknowledged nothing yet.
func (s *State) join(c Command) error {
	previous := s.roster[c.Member.Name]
	evicted := s.evicted[c.Member.Name]
	switch {
	case evicted > 0 && c.Member.Incarnation <= evicted:
		return fmt.Errorf("%w: %s was evicted, its process has to start again", ErrConflict, c.Member.Name)
	case previous != nil && previous.Incarnation > c.Member.Incarnation:
		return fmt.Errorf("%w: a later process named %s is in the roster", ErrConflict, c.Member.Name)
	case previous != nil && previous.Incarnation == c.Member.Incarnation:
		return nil // a repeated call
	case previous == nil && len(s.roster) >= maxRoster:
		return fmt.Errorf("%w: %d are in the roster", ErrLimitReached, len(s.roster))
	}
	m := &RosterMember{Member: c.Member, JoinedMS: c.AtMS, Process: c.Process}
	if mutation.KeepAckOverRestart && previous != nil {
		m.AckedChange, m.AckedStage = previous.AckedChange, previous.AckedStage
	}
	s.roster[c.Member.Name] = m
	s.version++
	return nil
}

// leave removes a member on evidence that its process has stopped acting. It does nothing if
// the member has already left or was replaced by a later incarnation.
func (s *State) leave(m Member) {
	current := s.roster[m.Name]
	if current == nil || current.Incarnation != m.Incarnation {
		return
	}
	delete(s.roster, m.Name)
	s.version++
	s.settleIfConfirmed()
}

// evict removes a member because an operator states that its process has ended. That
// process may not join again. If the command names an incarnation, a later process of that
// name stays: the command may be a repetition. Callers of earlier versions name none.
func (s *State) evict(c Command) error {
	m := s.roster[c.Member.Name]
	named := c.Member.Incarnation
	switch {
	case named > 0 && (m == nil || m.Incarnation > named):
		return s.evictReplaced(c.Member)
	case m == nil:
		return fmt.Errorf("%w: %s is not in the roster", ErrNotFound, c.Member.Name)
	case named > m.Incarnation:
		return fmt.Errorf("%w: a later process named %s is to be evicted than the one in the roster", ErrConflict, c.Member.Name)
	}
	s.recordEviction(m.Member)
	s.leave(m.Member)
	return nil
}

// evictReplaced keeps a process that has left the roster from joining again.
func (s *State) evictReplaced(m Member) error {
	if s.evicted[m.Name] >= m.Incarnation {
		return nil // a repeated call
	}
	if s.roster[m.Name] == nil {
		return fmt.Errorf("%w: %s is not in the roster", ErrNotFound, m.Name)
	}
	return nil // the later process in the roster has replaced it
}

// recordEviction records that the process may not join again.
func (s *State) recordEviction(m Member) {
	if _, again := s.evicted[m.Name]; !again && len(s.evicted) >= maxEvicted {
		s.forgetOldestEviction()
	}
	s.evicted[m.Name] = max(1, m.Incarnation)
}

// forgetOldestEviction makes room for another eviction. It removes the lowest incarnation,
// because the process that started first is the least likely to be still running. The choice
// is the same at every replica.
func (s *State) forgetOldestEviction() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.evicted)), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.evicted[a], s.evicted[b]), cmp.Compare(a, b))
	})
	delete(s.evicted, oldest)
}

// rosterMember returns a member of the roster. ErrNotFound makes a sidecar join.
func (s *State) rosterMember(m Member) (*RosterMember, error) {
	current := s.roster[m.Name]
	if current == nil || current.Incarnation != m.Incarnation {
		return nil, fmt.Errorf("%w: %s has no seat: join first", ErrNotFound, m.Name)
	}
	return current, nil
}

// waitingFor returns the members that have not acknowledged the stage of the change.
func (s *State) waitingFor() (names []string) {
	if s.change == nil {
		return nil
	}
	for name, m := range s.roster {
		if m.AckedChange != s.change.Number || !m.AckedStage.reached(s.stageOf(name)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
