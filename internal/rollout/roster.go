package rollout

import (
	"fmt"

	"barleywick/internal/mutation"
)

// Member is one sidecar in the roster. Of two with one name the one with the higher
// incarnation started later.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// RosterMember is a member's place in the roster, and what it has said.
type RosterMember struct {
	Member
	JoinedMS    int64   `json:"joined_ms"`
	AckedChange uint64  `json:"change,omitempty"` // the change that it spoke of last
	AckedStage  Stage   `json:"said,omitempty"`   // the stage that it confirmed of that
	Process     Process `json:"where,omitzero"`
	// What it reported first and last while a few went ahead with a change.
	ReportedChange uint64        `json:"reported,omitempty"` // the change
	FirstReport    RequestCounts `json:"from,omitzero"`
	LastReport     RequestCounts `json:"to,omitzero"`
}

// join gives a sidecar a seat. One that starts again has said nothing yet, whatever
// the process before it said.
func (s *State) join(c Command) error {
	was := s.roster[c.Member.Name]
	switch {
	case c.Member.Incarnation <= s.evicted[c.Member.Name] && s.evicted[c.Member.Name] > 0:
		return fmt.Errorf("%w: %s was evicted, its process has to start again", ErrConflict, c.Member.Name)
	case was != nil && was.Incarnation > c.Member.Incarnation:
		return fmt.Errorf("%w: a later process named %s is in the roster", ErrConflict, c.Member.Name)
	case was != nil && was.Incarnation == c.Member.Incarnation:
		return nil // it asks again
	case was == nil && len(s.roster) >= maxRoster:
		return fmt.Errorf("%w: %d are in the roster", ErrLimitReached, len(s.roster))
	}
	seat := &RosterMember{Member: c.Member, JoinedMS: c.AtMS, Process: c.Process}
	if mutation.KeptPromise && was != nil {
		seat.AckedChange, seat.AckedStage = was.AckedChange, was.AckedStage
	}
	s.roster[c.Member.Name] = seat
	s.version++
	return nil
}

// leave takes a seat away by evidence that its process acts no more.
func (s *State) leave(m Member) error {
	was := s.roster[m.Name]
	if was == nil || was.Incarnation != m.Incarnation {
		return nil // it has gone, or a later one has its seat
	}
	delete(s.roster, m.Name)
	s.version++
	s.settleIfConfirmed()
	return nil
}

// evict takes a seat away by an operator's word. That process is refused from now on.
func (s *State) evict(c Command) error {
	was := s.roster[c.Member.Name]
	if was == nil {
		return fmt.Errorf("%w: %s is not in the roster", ErrNotFound, c.Member.Name)
	}
	if len(s.evicted) >= maxEvicted {
		return fmt.Errorf("%w: %d were evicted", ErrLimitReached, len(s.evicted))
	}
	s.evicted[c.Member.Name] = max(1, was.Incarnation)
	return s.leave(was.Member)
}
