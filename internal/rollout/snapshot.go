package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// snapshot is the stored form of the state.
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
	image := snapshot{
		Epoch: s.epoch, LastNumber: s.lastNumber, Stage: s.stage, Change: s.change,
		Roster: s.roster, Evicted: s.evicted, History: s.history, Version: s.version,
	}
	if s.epoch != 0 {
		image.Document = &s.document
	}
	return json.Marshal(image)
}

// UnmarshalJSON reads a snapshot, and returns an error if it is inconsistent.
func (s *State) UnmarshalJSON(text []byte) error {
	var image snapshot
	if err := json.Unmarshal(text, &image); err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	if !image.consistent() {
		return fmt.Errorf("policy: inconsistent snapshot: epoch %d at stage %.32q, last number %d", image.Epoch, image.Stage, image.LastNumber)
	}
	for name, m := range image.Roster {
		if m == nil || m.Name != name {
			return fmt.Errorf("policy: roster member %.64q is malformed", name)
		}
	}
	restored := New(image.LastNumber)
	restored.epoch, restored.stage, restored.change = image.Epoch, image.Stage, image.Change
	restored.history, restored.version = image.History, image.Version
	if image.Document != nil {
		restored.document = *image.Document
	}
	maps.Copy(restored.roster, image.Roster)
	maps.Copy(restored.evicted, image.Evicted)
	*s = *restored
	return nil
}

// consistent reports whether epoch, document, stage, change and numbers are consistent.
func (i snapshot) consistent() bool {
	switch {
	case !i.Stage.valid():
		return false
	case (i.Epoch == 0) != (i.Document == nil):
		return false
	case (i.Change == nil) != (i.Stage == StageSettled):
		return false
	case i.Epoch > i.LastNumber:
		return false
	case i.Change != nil && i.Change.Number > i.LastNumber:
		return false
	}
	return true
}

// Restore keeps the state when the registry is restored from a backup, because policy, roster
// and change belong to processes that are running now. Numbers and versions continue above the
// backup's. Only a group without a policy, a change and a roster takes over the backup's policy,
// as if it had been proposed again.
func (s *State) Restore(backup *State) {
	s.lastNumber = max(s.lastNumber, backup.lastNumber) + 1
	s.version = max(s.version, backup.version) + 1
	if s.epoch == 0 && s.change == nil && backup.epoch != 0 && len(s.roster) == 0 {
		s.epoch, s.document = s.lastNumber, backup.document
		s.history = slices.Clone(backup.history)
	}
}
