package registry

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"barleywick/internal/rollout"
)

// stateSnapshot is the state as it stands in a snapshot.
type stateSnapshot struct {
	Form    int                      `json:"form"`
	Group   string                   `json:"group"`
	Founded uint64                   `json:"founded"`
	Seq     uint64                   `json:"seq"`
	Oldest  uint64                   `json:"oldest"`
	Edits   uint64                   `json:"edits"`
	Entries map[string]*Registration `json:"entries"`
	Marks   map[string]string        `json:"marks"`
	Records map[string]*Record       `json:"records"`
	Log     []listChange             `json:"log"`
	Leases  *Leases                  `json:"leases,omitempty"`
	Policy  *rollout.State           `json:"policy,omitempty"`
}

const snapshotForm = 1

// MarshalJSON writes the state for a snapshot.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateSnapshot{snapshotForm, s.group, s.firstVersion, s.seq, s.changesAfter, s.recordVersion, s.registrations, s.marks, s.records, s.changes, s.leases, s.rollout})
}

// UnmarshalJSON reads a snapshot. A state that cannot be right is refused, and
// leaves s as it was.
func (s *State) UnmarshalJSON(text []byte) error {
	var i stateSnapshot
	if err := json.Unmarshal(text, &i); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	switch {
	case i.Form != snapshotForm:
		return fmt.Errorf("snapshot: form %d is not known, only %d", i.Form, snapshotForm)
	case i.Group == "" && i.Seq != 0, i.Seq < i.Founded, i.Oldest < i.Founded, i.Oldest > i.Seq:
		return fmt.Errorf("snapshot: versions %d to %d of a history from %d", i.Oldest, i.Seq, i.Founded)
	case !slices.IsSortedFunc(i.Log, func(a, b listChange) int { return cmp.Compare(a.Seq, b.Seq) }),
		len(i.Log) > 0 && (i.Log[0].Seq <= i.Oldest || i.Log[len(i.Log)-1].Seq > i.Seq):
		return errors.New("snapshot: the log of changes is out of order")
	}
	for host, e := range i.Entries {
		if e == nil || e.Host != host || e.Version > i.Seq {
			return fmt.Errorf("snapshot: entry %.64q is broken", host)
		}
	}
	for key, r := range i.Records {
		if r == nil || r.Version > i.Edits {
			return fmt.Errorf("snapshot: record %.64q is broken", key)
		}
	}
	fresh := NewState()
	fresh.group, fresh.firstVersion, fresh.seq, fresh.changesAfter, fresh.recordVersion = i.Group, i.Founded, i.Seq, i.Oldest, i.Edits
	maps.Copy(fresh.registrations, i.Entries)
	maps.Copy(fresh.marks, i.Marks)
	maps.Copy(fresh.records, i.Records)
	fresh.changes = i.Log
	if fresh.leases = i.Leases; i.Leases == nil { // written before there were leases
		fresh.leases = newLeases(i.Edits)
	}
	if fresh.rollout = i.Policy; i.Policy == nil {
		fresh.rollout = rollout.New(i.Edits)
	}
	*s = *fresh
	return nil
}

// restore takes over the contents of a backup, but not its versions: the list's
// go on, to where no version was before, and every watcher gets the whole list.
func (s *State) restore(c Command) Result {
	from := NewState()
	if err := json.Unmarshal(c.Backup, from); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	if from.group != s.group {
		return failed(fmt.Errorf("%w: the backup is of group %.64q, this is %q", ErrConflict, from.group, s.group))
	}
	for _, e := range from.registrations {
		if err := e.Instance.Check(); err != nil {
			return failed(fmt.Errorf("%w: backup: %w", ErrInvalid, err))
		}
	}
	next := max(s.seq, s.recordVersion, from.seq, from.recordVersion) + 1
	for _, e := range from.registrations {
		e.Version = next
	}
	for _, r := range from.records {
		r.Version = next
	}
	from.firstVersion, from.seq, from.changesAfter, from.recordVersion, from.changes = s.firstVersion, next, next, next, nil
	s.leases.keepOverRestore(from.leases)
	from.leases = s.leases
	s.rollout.Restore(from.rollout)
	from.rollout = s.rollout
	*s = *from
	return Result{Version: next}
}
