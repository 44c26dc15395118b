package rollout

import "fmt"

// abort goes back to the old policy. A committed change cannot be aborted.
func (s *State) abort(c Command) error {
	switch {
	case s.change == nil || c.ChangeNumber != s.change.Number:
		return fmt.Errorf("%w: change %d is not under way", ErrNotFound, c.ChangeNumber)
	case s.stage == StageCommitted:
		return fmt.Errorf("%w: change %d is in force, the way back is another change", ErrConflict, c.ChangeNumber)
	}
	s.endChange(fmt.Sprintf("aborted by %s: %.*s", c.By, maxReason, c.Reason), c.AtMS)
	return nil
}

// endChange ends a change that does not come into force.
func (s *State) endChange(outcome string, atMS int64) {
	s.record(outcome, atMS)
	s.change, s.stage = nil, StageSettled
	s.version++
}
