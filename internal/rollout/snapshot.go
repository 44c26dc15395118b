package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

type snapshot struct {
	Epoch      uint64                   `json:"epoch"`
	LastNumber uint64                   `json:"last"`
	Document   *Document                `json:"document,omitempty"`
	Stage      Stage                    `json:"stage"`
	Change     *Change                  `json:"change,omitempty"`
	Roster     map[string]*RosterMember `json:"roster,omitempty"`
	Evicted    map[string]uint64        `json:"evicted,omitempty"`
	History    []HistoryEntry           `json:"history,omitempty"`
	Version    uint64                   `json:"version"`
}

// MarshalJSON writes the state for a snapshot.
func (s *State) MarshalJSON() ([]byte, error) {
	i := snapshot{s.epoch, s.lastNumber, nil, s.stage, s.change, s.roster, s.evicted, s.history, s.version}
	if s.epoch != 0 {
		i.Document = &s.document
	}
	return json.Marshal(i)
}

// UnmarshalJSON reads a snapshot. What cannot be right is refused.
func (s *State) UnmarshalJSON(text []byte) error {
	var i snapshot
	if err := json.Unmarshal(text, &i); err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	switch {
	case (i.Epoch == 0) != (i.Document == nil), i.Epoch > i.LastNumber, (i.Change == nil) != (i.Stage == StageSettled),
		i.Change != nil && i.Change.Number > i.LastNumber, !slices.Contains([]Stage{StageSettled, StagePreparing, StageCanary, StageJoint, StageCommitted}, i.Stage):
		return fmt.Errorf("policy: epoch %d at stage %.32q, last number %d", i.Epoch, i.Stage, i.LastNumber)
	}
	fresh := New(i.LastNumber)
	fresh.epoch, fresh.stage, fresh.change, fresh.history, fresh.version = i.Epoch, i.Stage, i.Change, i.History, i.Version
	if i.Document != nil {
		fresh.document = *i.Document
	}
	for name, seat := range i.Roster {
		if seat == nil || seat.Name != name {
			return fmt.Errorf("policy: seat %.64q is broken", name)
		}
		fresh.roster[name] = seat
	}
	maps.Copy(fresh.evicted, i.Evicted)
	*s = *fresh
	return nil
}

// Restore brings the state over a restore of the registry: policy, roster and a change
// under way are about processes that act now, and stay. Numbers go on above the
// backup's. A group that has no policy takes the backup's over, as a proposal would.
func (s *State) Restore(backup *State) {
	s.lastNumber = max(s.lastNumber, backup.lastNumber) + 1
	s.version = max(s.version, backup.version) + 1
	if s.epoch == 0 && s.change == nil && backup.epoch != 0 && len(s.roster) == 0 {
		s.epoch, s.document = s.lastNumber, backup.document
		s.history = slices.Clone(backup.history)
	}
}
