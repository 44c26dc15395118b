package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// State is the fleet policy with its roster, and the change in progress, if any.
type State struct {
	epoch      uint64 // of the policy in force; 0: there is none yet
	lastNumber uint64 // the number of the last change
	document   Document
	stage      Stage
	change     *Change // nil if settled; after the commit, its policy is the one in force
	roster     map[string]*RosterMember
	evicted    map[string]uint64 // by name: the highest incarnation that may not join again
	history    []HistoryEntry
	version    uint64 // increases with each change of the state
}

// New returns an empty state whose numbers and versions begin above the given one.
func New(after uint64) *State {
	return &State{
		stage: StageSettled, roster: make(map[string]*RosterMember), evicted: make(map[string]uint64),
		lastNumber: after, version: after,
	}
}

// Clone returns a copy that shares no mutable state.
func (s *State) Clone() *State {
	c := *s
	if s.change != nil {
		change := *s.change
		c.change = &change
	}
	c.roster = make(map[string]*RosterMember, len(s.roster))
	for name, m := range s.roster {
		member := *m
		c.roster[name] = &member
	}
	c.evicted, c.history = maps.Clone(s.evicted), slices.Clone(s.history)
	return &c
}

// Apply applies one command. Its error wraps one of the package's errors. A command that is
// repeated or out of date changes nothing.
func (s *State) Apply(c Command) error {
	switch c.Op {
	case OpJoin, OpLeave, OpAck, OpEvict, OpReport:
		if c.Member.Name == "" || len(c.Member.Name) > maxNameBytes {
			return fmt.Errorf("%w: no member is named", ErrInvalid)
		}
	}
	switch c.Op {
	case OpJoin:
		return s.join(c)
	case OpLeave:
		s.leave(c.Member)
		return nil
	case OpAck:
		return s.ack(c)
	case OpEvict:
		return s.evict(c)
	case OpPropose:
		return s.propose(c)
	case OpAbort:
		return s.abort(c)
	case OpAdvance:
		return s.advance(c)
	case OpReport:
		return s.report(c)
	}
	return fmt.Errorf("%w: verb %.32q", ErrInvalid, c.Op)
}

// Version returns the version of the last change of the state.
func (s *State) Version() uint64 { return s.version }
