package rollout

import (
	"fmt"
	"slices"
)

// propose begins a change. The first policy of all is one too: sidecars hold their own
// configuration until then, as the old one.
func (s *State) propose(c Command) error {
	switch {
	case c.Document == nil:
		return fmt.Errorf("%w: no document", ErrInvalid)
	case c.By == "" || len(c.By) > maxName || len(c.Reason) > maxReason:
		return fmt.Errorf("%w: a change needs who proposes it, and a reason of %d bytes at most", ErrInvalid, maxReason)
	case c.WithinMS <= 0 || c.WithinMS > MaxWithinMS:
		return fmt.Errorf("%w: within_ms is %d, it must lie between 1 and %d", ErrInvalid, c.WithinMS, MaxWithinMS)
	}
	if err := c.Document.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if !(c.CanaryFraction >= 0 && c.CanaryFraction < 1) || c.CanaryFraction > 0 && (c.CanaryWatchMS <= 0 || c.CanaryWatchMS >= c.WithinMS) || c.CanaryFraction == 0 && c.CanaryWatchMS != 0 {
		return fmt.Errorf("%w: first is %g and watch_ms %d: a part under 1, watched for less than within_ms", ErrInvalid, c.CanaryFraction, c.CanaryWatchMS)
	}
	if s.change != nil && s.change.By == c.By && s.change.Document.Checksum() == c.Document.Checksum() && s.change.Reason == c.Reason {
		return nil // the same again: its answer was lost
	}
	if s.change != nil {
		return fmt.Errorf("%w: change %d of %s is %s", ErrConflict, s.change.Number, s.change.By, s.stage)
	}
	if c.BaseEpoch != s.epoch {
		return fmt.Errorf("%w: it was compared with epoch %d, %d is in force", ErrConflict, c.BaseEpoch, s.epoch)
	}
	s.lastNumber++
	s.change = &Change{Number: s.lastNumber, Document: *c.Document, By: c.By, Reason: c.Reason, StartedMS: c.AtMS, DeadlineMS: c.AtMS + c.WithinMS, CanaryFraction: c.CanaryFraction, CanaryWatchMS: c.CanaryWatchMS}
	s.stage = StagePreparing
	s.version++
	return nil
}

// ack takes what a member confirms of a change, or why it cannot.
func (s *State) ack(c Command) error {
	seat := s.roster[c.Member.Name]
	if seat == nil || seat.Incarnation != c.Member.Incarnation {
		return fmt.Errorf("%w: %s has no seat: join first", ErrNotFound, c.Member.Name)
	}
	switch {
	case s.change == nil || s.change.Number != c.ChangeNumber:
		return nil // of a change that is over
	case c.Refusal != "" && s.stage != StageCommitted: // also one that joined since and never said that it could
		s.abandon(fmt.Sprintf("refused by %s: %.*s", c.Member.Name, maxReason, c.Refusal), c.AtMS)
		return nil
	case c.Refusal != "":
		return fmt.Errorf("%w: change %d is in force", ErrConflict, c.ChangeNumber)
	case stageOrder(c.Stage) > stageOrder(s.stageOf(seat.Name)):
		return fmt.Errorf("%w: change %d is %s, not %s yet", ErrConflict, c.ChangeNumber, s.stage, c.Stage)
	case seat.AckedChange == c.ChangeNumber && stageOrder(seat.AckedStage) >= stageOrder(c.Stage):
		return nil // it says so again
	}
	seat.AckedChange, seat.AckedStage = c.ChangeNumber, c.Stage
	s.version++
	s.settleIfConfirmed()
	return nil
}

// waitingFor is who has not confirmed the stage that the change is at.
func (s *State) waitingFor() (who []string) {
	if s.change == nil {
		return nil
	}
	for name, seat := range s.roster {
		if seat.AckedChange != s.change.Number || stageOrder(seat.AckedStage) < stageOrder(s.stageOf(name)) {
			who = append(who, name)
		}
	}
	slices.Sort(who)
	return who
}
