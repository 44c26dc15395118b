package rollout

import "fmt"

// abort ends a change and keeps the old policy in force. A committed change cannot be aborted.
func (s *State) abort(c Command) error {
	switch {
	case s.change == nil || c.ChangeNumber != s.change.Number:
		return fmt.Errorf("%w: change %d is not under way", ErrNotFound, c.ChangeNumber)
	case s.stage == StageCommitted:
		return fmt.Errorf("%w: change %d is in force, the way back is another change", ErrConflict, c.ChangeNumber)
	}
	s.endChange(fmt.Sprintf("aborted by %s: %.*s", c.By, maxReasonBytes, c.Reason), c.AtMS)
	return nil
}

// endChange ends a change that is not committed.
func (s *State) endChange(outcome string, atMS int64) {
	s.record(outcome, atMS)
	s.change, s.stage = nil, StageSettled
	s.version++
}
