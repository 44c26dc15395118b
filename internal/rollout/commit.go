package rollout

import (
	"fmt"

	"barleywick/internal/mutation"
)

// advance takes a change to its next stage if everybody in the roster, those that have
// joined since among them, has confirmed the one it is at.
func (s *State) advance(c Command) error {
	if s.change == nil || c.ChangeNumber != s.change.Number || c.Stage != s.stage {
		return nil // it has been done
	}
	if who := s.waitingFor(); len(who) > 0 && s.stage != StageCommitted && !mutation.LooseStep {
		return fmt.Errorf("%w: change %d waits for %d, %s among them", ErrConflict, c.ChangeNumber, len(who), who[0])
	}
	switch s.stage {
	case StagePreparing:
		if s.change.CanaryFraction > 0 {
			s.stage, s.change.CanarySinceMS, s.change.Canaries = StageCanary, c.AtMS, s.chooseCanaries()
			break
		}
		if s.stage = StageJoint; mutation.NoJoint {
			s.commit(c.AtMS)
		}
	case StageCanary:
		s.stage = StageJoint
	case StageJoint:
		s.commit(c.AtMS)
	}
	s.version++
	s.settleIfConfirmed()
	return nil
}

// commit puts the new policy in force: one write.
func (s *State) commit(at int64) {
	s.epoch, s.document, s.stage = s.change.Number, s.change.Document, StageCommitted
	s.record("committed", at)
}

// settleIfConfirmed ends a change that is in force once everybody has confirmed it.
func (s *State) settleIfConfirmed() {
	if s.stage == StageCommitted && s.waitingFor() == nil {
		s.change, s.stage = nil, StageSettled
		s.version++
	}
}
