package rollout

import (
	"errors"
	"fmt"
)

const (
	maxReasonBytes = 512
	// MaxWithinMS is the longest time that a change may take, in milliseconds.
	MaxWithinMS = 7 * 24 * 3600 * 1000
)

// propose starts a change. Before the first policy, each sidecar applies its own configuration,
// which then serves as the old policy.
func (s *State) propose(c Command) error {
	if err := checkProposal(c); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	switch {
	case s.change != nil && s.change.proposedBy(c):
		return nil // a repeated call
	case s.change != nil:
		return fmt.Errorf("%w: change %d of %s is %s", ErrConflict, s.change.Number, s.change.By, s.stage)
	case c.BaseEpoch != s.epoch:
		return fmt.Errorf("%w: it was compared with epoch %d, %d is in force", ErrConflict, c.BaseEpoch, s.epoch)
	}
	s.lastNumber++
	s.change = &Change{
		Number: s.lastNumber, Document: *c.Document, By: c.By, Reason: c.Reason,
		StartedMS: c.AtMS, DeadlineMS: c.AtMS + c.WithinMS,
		CanaryFraction: c.CanaryFraction, CanaryWatchMS: c.CanaryWatchMS,
	}
	s.stage = StagePreparing
	s.version++
	return nil
}

// checkProposal checks a proposal independently of the state.
func checkProposal(c Command) error {
	switch {
	case c.Document == nil:
		return errors.New("document is missing, a change needs a policy document")
	case c.By == "" || len(c.By) > maxNameBytes || len(c.Reason) > maxReasonBytes:
		return fmt.Errorf("a change needs the name of its proposer, and a reason of at most %d bytes", maxReasonBytes)
	case c.WithinMS <= 0 || c.WithinMS > MaxWithinMS:
		return fmt.Errorf("within_ms is %d, it must lie between 1 and %d", c.WithinMS, MaxWithinMS)
	}
	if err := c.Document.Check(); err != nil {
		return err
	}
	if !validCanaries(c) {
		return fmt.Errorf("first is %g and watch_ms %d: a part under 1, watched for less than within_ms", c.CanaryFraction, c.CanaryWatchMS)
	}
	return nil
}

// validCanaries reports whether a proposal has no canaries, or a fraction of canaries that is
// watched for less than the time of the change.
func validCanaries(c Command) bool {
	if c.CanaryFraction == 0 {
		return c.CanaryWatchMS == 0
	}
	return c.CanaryFraction > 0 && c.CanaryFraction < 1 && c.CanaryWatchMS > 0 && c.CanaryWatchMS < c.WithinMS
}

// proposedBy reports whether a proposal is the one that started this change.
func (ch *Change) proposedBy(c Command) bool {
	return ch.By == c.By && ch.Reason == c.Reason && ch.Document.Checksum() == c.Document.Checksum()
}

// ack records that a member acknowledges a stage, or aborts the change that it refuses. A
// member that joined during the change may refuse it as well.
func (s *State) ack(c Command) error {
	m, err := s.rosterMember(c.Member)
	if err != nil {
		return err
	}
	switch {
	case s.change == nil || s.change.Number != c.ChangeNumber:
		return nil // that change has ended
	case c.Refusal != "" && s.stage == StageCommitted:
		return fmt.Errorf("%w: change %d is in force", ErrConflict, c.ChangeNumber)
	case c.Refusal != "":
		s.endChange(fmt.Sprintf("refused by %s: %.*s", c.Member.Name, maxReasonBytes, c.Refusal), c.AtMS)
		return nil
	case !s.stageOf(m.Name).reached(c.Stage):
		return fmt.Errorf("%w: change %d is %s, not %s yet", ErrConflict, c.ChangeNumber, s.stage, c.Stage)
	case m.AckedChange == c.ChangeNumber && m.AckedStage.reached(c.Stage):
		return nil // a repeated call
	}
	m.AckedChange, m.AckedStage = c.ChangeNumber, c.Stage
	s.version++
	s.settleIfConfirmed()
	return nil
}
