package rollout

import (
	"fmt"

	"barleywick/internal/mutation"
)

// advance moves a change to its next stage, if all members of the roster have acknowledged
// the current one, including those that joined during the change.
func (s *State) advance(c Command) error {
	if s.change == nil || c.ChangeNumber != s.change.Number || c.Stage != s.stage {
		return nil // a repeated call
	}
	if names := s.waitingFor(); len(names) > 0 && s.stage != StageCommitted && !mutation.AdvanceWithoutAcks {
		return fmt.Errorf("%w: change %d waits for %d, %s among them", ErrConflict, c.ChangeNumber, len(names), names[0])
	}
	switch s.stage {
	case StagePreparing:
		s.finishPreparing(c.AtMS)
	case StageCanary:
		s.stage = StageJoint
	case StageJoint:
		s.commit(c.AtMS)
	}
	s.version++
	s.settleIfConfirmed()
	return nil
}

// finishPreparing moves a change to StageCanary if it has canaries, and to StageJoint otherwise.
func (s *State) finishPreparing(atMS int64) {
	if s.change.CanaryFraction > 0 {
		s.stage, s.change.CanarySinceMS, s.change.Canaries = StageCanary, atMS, s.chooseCanaries()
		return
	}
	s.stage = StageJoint
	if mutation.SkipJointStage {
		s.commit(atMS)
	}
}

// commit puts the new policy in force.
func (s *State) commit(atMS int64) {
	s.epoch, s.document, s.stage = s.change.Number, s.change.Document, StageCommitted
	s.record(OutcomeCommitted, atMS)
}

// settleIfConfirmed ends a committed change when all members have acknowledged it.
func (s *State) settleIfConfirmed() {
	if s.stage == StageCommitted && s.waitingFor() == nil {
		s.change, s.stage = nil, StageSettled
		s.version++
	}
}
