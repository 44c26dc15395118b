package registry

import (
	"maps"
	"slices"

	"barleywick/internal/rollout"
)

const (
	maxListChanges      = 4096 // entries in the log of changes
	maxRecords          = 1024
	maxRecordValueBytes = 32 << 10
	maxMarks            = maxInstances
	versionsPerMS       = 1024 // version numbers available for each millisecond of a group's lifetime
)

// State is the registry's replicated state machine.
type State struct {
	group         string
	firstVersion  uint64 // the first version of the group's history
	seq           uint64 // version of the list
	registrations map[string]*Registration
	marks         map[string]string // by host: who set the drain mark
	records       map[string]*Record
	recordVersion uint64 // the last version assigned to a record
	changes       []listChange
	changesAfter  uint64 // changes is complete after this version
	leases        *Leases
	rollout       *rollout.State
}

// NewState returns an empty state that belongs to no group yet.
func NewState() *State {
	return &State{
		registrations: make(map[string]*Registration),
		marks:         make(map[string]string),
		records:       make(map[string]*Record),
		leases:        newLeases(0),
		rollout:       rollout.New(0),
	}
}

// Clone returns a copy that shares no mutable data.
func (s *State) Clone() *State {
	c := *s
	c.registrations = make(map[string]*Registration, len(s.registrations))
	for host, r := range s.registrations {
		registration := *r
		c.registrations[host] = &registration
	}
	c.marks, c.records = maps.Clone(s.marks), maps.Clone(s.records)
	c.changes = slices.Clone(s.changes)
	c.leases = s.leases.Clone()
	c.rollout = s.rollout.Clone()
	return &c
}

// Group returns the name of the group, empty before it is founded.
func (s *State) Group() string { return s.group }

// Seq returns the version of the list.
func (s *State) Seq() uint64 { return s.seq }

// FirstVersion returns the first version of the group's history.
func (s *State) FirstVersion() uint64 { return s.firstVersion }

// Leases returns the leases. The caller must not change them.
func (s *State) Leases() *Leases { return s.leases }

// Apply applies one command. If the result has an error, the state is unchanged.
func (s *State) Apply(c Command) Result {
	r, err := s.apply(c)
	r.Seq, r.Err = s.seq, err
	return r
}

func (s *State) apply(c Command) (Result, error) {
	if s.group == "" && c.Op != OpFoundGroup {
		return Result{}, invalid("the group has not been founded")
	}
	if err := s.leases.checkFence(c.Fence); err != nil {
		return Result{}, err
	}
	switch c.Op {
	case OpAcquireLease, OpReleaseLease, OpExpireClaims, OpRequestYield, OpOpenGrants:
		return s.applyLeaseCommand(c)
	case OpPolicyStep:
		return s.applyPolicyStep(c)
	case OpFoundGroup:
		return s.foundGroup(c)
	case OpRegister:
		return s.register(c)
	case OpMark:
		return s.mark(c)
	case OpRemove:
		return s.remove(c)
	case OpExpireSessions:
		return s.expireSessions(c), nil
	case OpPutRecord:
		return s.putRecord(c)
	case OpDeleteRecord:
		return s.deleteRecord(c)
	case OpRestore:
		return s.restore(c)
	}
	return Result{}, invalid("operation %.32q", c.Op)
}

// foundGroup starts the group's history. The versions start at a number derived from the
// time, so that the version ranges of two groups do not overlap: a watch from a version of
// another history is either older than this history's log of changes or newer than its
// list, and gets the full list in both cases.
func (s *State) foundGroup(c Command) (Result, error) {
	if s.group != "" {
		if s.group != c.Group {
			return Result{}, conflict("this is group %q", s.group)
		}
		return Result{Version: s.firstVersion}, nil
	}
	if err := CheckName("group", c.Group); err != nil {
		return Result{}, invalid("%w", err)
	}
	if c.AtMS <= 0 || c.AtMS > MaxVersion/versionsPerMS/2 {
		return Result{}, invalid("founding time %d is out of range", c.AtMS)
	}
	s.group, s.firstVersion = c.Group, uint64(c.AtMS)*versionsPerMS
	s.seq, s.changesAfter, s.recordVersion = s.firstVersion, s.firstVersion, s.firstVersion
	// Tokens, too, start above those of any earlier group. No lease is granted until the
	// leases of an earlier group of this name have expired.
	s.leases = newLeases(s.firstVersion)
	s.leases.grantsClosed = true
	s.rollout = rollout.New(s.firstVersion)
	return Result{Version: s.firstVersion}, nil
}
