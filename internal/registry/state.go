package registry

import (
	"fmt"
	"maps"
	"slices"

	"barleywick/internal/rollout"
)

const (
	maxListChanges = 4096 // entries in the log of changes
	maxRecords     = 1024
	maxRecordValue = 32 << 10
	maxMarks       = maxInstances
	versionsPerMS  = 1024 // versions a group is given for each millisecond of its life
)

// State is the whole state machine.
type State struct {
	group         string
	firstVersion  uint64 // the first version of this history
	seq           uint64 // the list's version
	registrations map[string]*Registration
	marks         map[string]string // host -> who marked it
	records       map[string]*Record
	recordVersion uint64 // the last version given to a record
	changes       []listChange
	changesAfter  uint64 // the log is complete for versions after this
	leases        *Leases
	rollout       *rollout.State
}

// NewState makes an empty State that belongs to no group yet.
func NewState() *State {
	return &State{registrations: make(map[string]*Registration), marks: make(map[string]string), records: make(map[string]*Record), leases: newLeases(0), rollout: rollout.New(0)}
}

// Group returns the name of the group whose history this is; empty before it was founded.
func (s *State) Group() string { return s.group }

// Seq returns the list's version.
func (s *State) Seq() uint64 { return s.seq }

// FirstVersion returns the first version of this history.
func (s *State) FirstVersion() uint64 { return s.firstVersion }

// Apply carries one command out.
func (s *State) Apply(c Command) Result {
	r := s.apply(c)
	r.Seq = s.seq
	return r
}

func (s *State) apply(c Command) Result {
	if s.group == "" && c.Op != OpFoundGroup {
		return failed(fmt.Errorf("%w: the group has not been founded", ErrInvalid))
	}
	if err := s.leases.checkFence(c.Fence); err != nil {
		return failed(err)
	}
	switch c.Op {
	case OpAcquireLease, OpReleaseLease, OpExpireClaims, OpRequestYield, OpOpenGrants:
		seated := s.rosterLeasesEndedBy(c)
		r := s.leases.apply(c.Op, c.Lease)
		s.leaveRoster(seated)
		return r
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
		return s.expireSessions(c)
	case OpPutRecord, OpDeleteRecord:
		return s.edit(c)
	case OpRestore:
		return s.restore(c)
	}
	return failed(fmt.Errorf("%w: operation %.32q", ErrInvalid, c.Op))
}

// foundGroup begins a history. Its versions begin where no other group's can be: a
// watcher that comes with a version of another history is older than this one's
// log or ahead of it, and gets the whole list either way.
func (s *State) foundGroup(c Command) Result {
	if s.group != "" {
		if s.group != c.Group {
			return failed(fmt.Errorf("%w: this is group %q", ErrConflict, s.group))
		}
		return Result{Version: s.firstVersion}
	}
	if err := CheckName("group", c.Group); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	if c.AtMS <= 0 || c.AtMS > MaxVersion/versionsPerMS/2 {
		return failed(fmt.Errorf("%w: founded at %d", ErrInvalid, c.AtMS))
	}
	s.group, s.firstVersion = c.Group, uint64(c.AtMS)*versionsPerMS
	s.seq, s.changesAfter, s.recordVersion = s.firstVersion, s.firstVersion, s.firstVersion
	// Tokens begin where no earlier group's can be, and no lease is granted until those
	// of an earlier group of this name have run out.
	s.leases = newLeases(s.firstVersion)
	s.leases.grantsClosed = true
	s.rollout = rollout.New(s.firstVersion)
	return Result{Version: s.firstVersion}
}

// Clone returns a copy that shares nothing that changes.
func (s *State) Clone() *State {
	c := *s
	c.registrations = make(map[string]*Registration, len(s.registrations))
	for h, e := range s.registrations {
		one := *e
		c.registrations[h] = &one
	}
	c.marks, c.records, c.changes, c.leases = maps.Clone(s.marks), maps.Clone(s.records), slices.Clone(s.changes), s.leases.Clone()
	c.rollout = s.rollout.Clone()
	return &c
}

// Leases returns the leases, to be read.
func (s *State) Leases() *Leases { return s.leases }
