package rollout

import "barleywick/internal/mutation"

// Decide is the leader's part: what to do of a change as it stands, if anything. It
// decides on what it has read, which may be old by now: the state machine looks again.
func Decide(s Status, nowMS int64) (Command, bool) {
	c := s.Change
	switch {
	case c == nil:
	case len(s.WaitingFor) == 0 && s.Stage == StageCanary && nowMS < c.DeadlineMS:
		if nowMS < c.CanarySinceMS+c.CanaryWatchMS {
			break
		}
		worse, enough := CompareCanaries(s)
		if worse != "" {
			return Command{Op: OpAbort, ChangeNumber: c.Number, By: "those that went ahead", Reason: worse}, true
		}
		if enough {
			return Command{Op: OpAdvance, ChangeNumber: c.Number, Stage: s.Stage}, true
		}
	case len(s.WaitingFor) == 0 && s.Stage != StageCommitted && s.Stage != StageCanary:
		return Command{Op: OpAdvance, ChangeNumber: c.Number, Stage: s.Stage}, true
	case mutation.SilentLeave && nowMS >= (c.StartedMS+c.DeadlineMS)/2 && len(s.WaitingFor) > 0:
		for _, seat := range s.Roster {
			if seat.Name == s.WaitingFor[0] {
				return Command{Op: OpLeave, Member: seat.Member}, true
			}
		}
	case s.Stage != StageCommitted && nowMS >= c.DeadlineMS:
		why := "not confirmed by " + joinNames(s.WaitingFor)
		if len(s.WaitingFor) == 0 {
			why = "too few requests at those that went ahead to compare them"
		}
		return Command{Op: OpAbort, ChangeNumber: c.Number, By: "its time-out", Reason: why}, true
	}
	return Command{}, false
}

// joinNames names some.
func joinNames(names []string) string {
	const few = 5
	text := ""
	for i, n := range names {
		if i == few {
			return text + " and others"
		}
		if i > 0 {
			text += ", "
		}
		text += n
	}
	return text
}
