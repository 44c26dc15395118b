package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// State is the workflow's state.
type State struct {
	epoch      uint64 // of the policy in force; 0: there is none yet
	lastNumber uint64 // the number given last
	document   Document
	stage      Stage
	change     *Change // unless settled; after commit it is what is in force
	roster     map[string]*RosterMember
	evicted    map[string]uint64 // the highest incarnation that may not come back
	history    []HistoryEntry
	version    uint64 // of the last change of anything
}

// New makes an empty state whose numbers begin after one.
func New(after uint64) *State {
	return &State{stage: StageSettled, roster: make(map[string]*RosterMember), evicted: make(map[string]uint64), lastNumber: after, version: after}
}

// Clone returns a copy that shares nothing that changes.
func (s *State) Clone() *State {
	c := *s
	if s.change != nil {
		one := *s.change
		c.change = &one
	}
	c.roster = make(map[string]*RosterMember, len(s.roster))
	for name, m := range s.roster {
		one := *m
		c.roster[name] = &one
	}
	c.evicted, c.history = maps.Clone(s.evicted), slices.Clone(s.history)
	return &c
}

// Apply carries one command out.
func (s *State) Apply(c Command) error {
	switch c.Op {
	case OpJoin, OpLeave, OpAck, OpEvict, OpReport:
		if c.Member.Name == "" || len(c.Member.Name) > maxName {
			return fmt.Errorf("%w: no member is named", ErrInvalid)
		}
	}
	switch c.Op {
	case OpJoin:
		return s.join(c)
	case OpLeave:
		return s.leave(c.Member)
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

// Version returns the version of the last change.
func (s *State) Version() uint64 { return s.version }
