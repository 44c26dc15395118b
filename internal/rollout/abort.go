package rollout

import (
	"fmt"
	"slices"
)

// abort leads back to the old policy; once the new one is in force there is no way back.
func (s *State) abort(c Command) error {
	switch {
	case s.change == nil || c.ChangeNumber != s.change.Number:
		return fmt.Errorf("%w: change %d is not under way", ErrNotFound, c.ChangeNumber)
	case s.stage == StageCommitted:
		return fmt.Errorf("%w: change %d is in force, the way back is another change", ErrConflict, c.ChangeNumber)
	}
	s.abandon(fmt.Sprintf("aborted by %s: %.*s", c.By, maxReason, c.Reason), c.AtMS)
	return nil
}

// abandon notes what became of a change that is not to be.
func (s *State) abandon(why string, at int64) {
	s.record(why, at)
	s.change, s.stage = nil, StageSettled
	s.version++
}

func (s *State) record(outcome string, at int64) {
	s.history = append(s.history, HistoryEntry{*s.change, s.change.Document.Checksum(), outcome, at})
	if over := len(s.history) - maxHistory; over > 0 {
		s.history = slices.Delete(s.history, 0, over)
	}
}
