package rollout

import "slices"

// maxHistory is how many changes are remembered.
const maxHistory = 64

// OutcomeCommitted is the outcome of a change that came into force.
const OutcomeCommitted = "committed"

// HistoryEntry is a change that has come into force or was aborted.
type HistoryEntry struct {
	Change
	Checksum string `json:"sum"`
	Outcome  string `json:"outcome"` // OutcomeCommitted, or why the change was aborted
	EndedMS  int64  `json:"ended_ms"`
}

// record adds the present change to the history.
func (s *State) record(outcome string, atMS int64) {
	s.history = append(s.history, HistoryEntry{*s.change, s.change.Document.Checksum(), outcome, atMS})
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.history = slices.Delete(s.history, 0, excess)
	}
}
