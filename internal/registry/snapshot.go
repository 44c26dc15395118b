package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"barleywick/internal/rollout"
)

// snapshotFormatVersion is the version of the snapshot's format.
const snapshotFormatVersion = 1

// stateSnapshot is the JSON encoding of State in a snapshot or a backup.
type stateSnapshot struct {
	Form          int                      `json:"form"`
	Group         string                   `json:"group"`
	FirstVersion  uint64                   `json:"founded"`
	Seq           uint64                   `json:"seq"`
	ChangesAfter  uint64                   `json:"oldest"`
	RecordVersion uint64                   `json:"edits"`
	Registrations map[string]*Registration `json:"entries"`
	Marks         map[string]string        `json:"marks"`
	Records       map[string]*Record       `json:"records"`
	Changes       []listChange             `json:"log"`
	Leases        *Leases                  `json:"leases,omitempty"` // missing in snapshots of early versions
	Rollout       *rollout.State           `json:"policy,omitempty"` // likewise
}

// MarshalJSON encodes the state for a snapshot.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateSnapshot{
		Form:          snapshotFormatVersion,
		Group:         s.group,
		FirstVersion:  s.firstVersion,
		Seq:           s.seq,
		ChangesAfter:  s.changesAfter,
		RecordVersion: s.recordVersion,
		Registrations: s.registrations,
		Marks:         s.marks,
		Records:       s.records,
		Changes:       s.changes,
		Leases:        s.leases,
		Rollout:       s.rollout,
	})
}

// UnmarshalJSON decodes a snapshot. If the contents are inconsistent, it returns an error
// and leaves s unchanged.
func (s *State) UnmarshalJSON(text []byte) error {
	var snapshot stateSnapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := snapshot.check(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	*s = *snapshot.state()
	return nil
}

// check returns an error if the contents are inconsistent or of an unsupported format.
func (s *stateSnapshot) check() error {
	if s.Form != snapshotFormatVersion {
		return fmt.Errorf("form %d is not known, only %d", s.Form, snapshotFormatVersion)
	}
	if s.Group == "" && s.Seq != 0 || s.Seq < s.FirstVersion || s.ChangesAfter < s.FirstVersion || s.ChangesAfter > s.Seq {
		return fmt.Errorf("inconsistent versions: changes after %d, list version %d, first version %d", s.ChangesAfter, s.Seq, s.FirstVersion)
	}
	if !s.changesInOrder() {
		return errors.New("log of changes is out of order or out of range")
	}
	for host, r := range s.Registrations {
		if r == nil || r.Host != host || r.Version > s.Seq {
			return fmt.Errorf("registration of host %.64q is inconsistent", host)
		}
	}
	for key, r := range s.Records {
		if r == nil || r.Version > s.RecordVersion {
			return fmt.Errorf("record %.64q is inconsistent", key)
		}
	}
	return nil
}

// changesInOrder reports whether the log of changes is sorted and lies between the
// versions given in the snapshot.
func (s *stateSnapshot) changesInOrder() bool {
	if !slices.IsSortedFunc(s.Changes, listChange.compareSeq) {
		return false
	}
	return len(s.Changes) == 0 || s.Changes[0].Seq > s.ChangesAfter && s.Changes[len(s.Changes)-1].Seq <= s.Seq
}

// state returns the decoded state.
func (s *stateSnapshot) state() *State {
	state := NewState()
	state.group, state.firstVersion = s.Group, s.FirstVersion
	state.seq, state.changesAfter, state.changes = s.Seq, s.ChangesAfter, s.Changes
	state.recordVersion = s.RecordVersion
	maps.Copy(state.registrations, s.Registrations)
	maps.Copy(state.marks, s.Marks)
	maps.Copy(state.records, s.Records)
	if state.leases = s.Leases; s.Leases == nil {
		state.leases = newLeases(s.RecordVersion)
	}
	if state.rollout = s.Rollout; s.Rollout == nil {
		state.rollout = rollout.New(s.RecordVersion)
	}
	return state
}

// restore replaces the contents with those of a backup, but not the versions: these
// continue above all earlier versions, so that every watch gets the full list. Leases and
// the rollout are kept, since they belong to running processes.
func (s *State) restore(c Command) (Result, error) {
	backup := NewState()
	if err := json.Unmarshal(c.Backup, backup); err != nil {
		return Result{}, invalid("%w", err)
	}
	if backup.group != s.group {
		return Result{}, conflict("the backup is of group %.64q, this is %q", backup.group, s.group)
	}
	for _, r := range backup.registrations {
		if err := r.Instance.Check(); err != nil {
			return Result{}, invalid("backup: %w", err)
		}
	}
	next := max(s.seq, s.recordVersion, backup.seq, backup.recordVersion) + 1
	for _, r := range backup.registrations {
		r.Version = next
	}
	for _, r := range backup.records {
		r.Version = next
	}
	backup.firstVersion, backup.seq, backup.recordVersion = s.firstVersion, next, next
	backup.changesAfter, backup.changes = next, nil
	s.leases.preserveOnRestore(backup.leases)
	backup.leases = s.leases
	s.rollout.Restore(backup.rollout)
	backup.rollout = s.rollout
	*s = *backup
	return Result{Version: next}, nil
}
