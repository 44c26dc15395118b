package rollout

import "slices"

// maxHistoryEntries is the number of ended changes that are kept.
const maxHistoryEntries = 64

// OutcomeCommitted is the outcome of a change that was committed.
const OutcomeCommitted = "committed"

// HistoryEntry is a change that was committed or aborted.
type HistoryEntry struct {
	Change
	Checksum string `json:"sum"`
	Outcome  string `json:"outcome"` // OutcomeCommitted, or why the change was aborted
	EndedMS  int64  `json:"ended_ms"`
}

// record adds the current change to the history.
func (s *State) record(outcome string, atMS int64) {
	s.history = append(s.history, HistoryEntry{*s.change, s.change.Document.Checksum(), outcome, atMS})
	if excess := len(s.history) - maxHistoryEntries; excess > 0 {
		s.history = slices.Delete(s.history, 0, excess)
	}
}
