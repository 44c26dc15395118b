package rollout

import (
	"strings"

	"barleywick/internal/mutation"
)

// The names in OpAbort commands of the leader, which are stored in the outcome of the change.
const (
	byCanaries = "those that went ahead"
	byDeadline = "its time-out"
)

// maxNamesInReason is the number of members that the reason of an abort names.
const maxNamesInReason = 5

// Decide is the leader's side of rollouts: it returns the next command for the change, if any.
// The status may be out of date, because the state checks each command itself.
func Decide(s Status, nowMS int64) (Command, bool) {
	c := s.Change
	if c == nil {
		return Command{}, false
	}
	confirmed := len(s.WaitingFor) == 0
	expired := nowMS >= c.DeadlineMS
	switch {
	case confirmed && s.Stage == StageCanary && !expired:
		return decideCanary(s, nowMS)
	case confirmed && s.Stage != StageCommitted && s.Stage != StageCanary:
		return advanceCommand(s), true
	case mutation.TakeSilenceForLeave && nowMS >= (c.StartedMS+c.DeadlineMS)/2 && !confirmed:
		return leaveOfUnresponsiveMember(s)
	case s.Stage != StageCommitted && expired:
		return abortAtDeadline(s), true
	}
	return Command{}, false
}

// decideCanary ends StageCanary when its time has passed and there were enough requests.
func decideCanary(s Status, nowMS int64) (Command, bool) {
	if nowMS < s.Change.CanarySinceMS+s.Change.CanaryWatchMS {
		return Command{}, false
	}
	worse, enough := CompareCanaries(s)
	switch {
	case worse != "":
		return Command{Op: OpAbort, ChangeNumber: s.Change.Number, By: byCanaries, Reason: worse}, true
	case enough:
		return advanceCommand(s), true
	}
	return Command{}, false
}

func advanceCommand(s Status) Command {
	return Command{Op: OpAdvance, ChangeNumber: s.Change.Number, Stage: s.Stage}
}

// abortAtDeadline aborts a change whose deadline has passed, and gives the reason.
func abortAtDeadline(s Status) Command {
	abort := Command{Op: OpAbort, ChangeNumber: s.Change.Number, By: byDeadline}
	if len(s.WaitingFor) > 0 {
		abort.Reason = "not confirmed by " + listNames(s.WaitingFor)
		return abort
	}
	switch worse, enough := CompareCanaries(s); {
	case worse != "":
		abort.By, abort.Reason = byCanaries, worse
	case enough:
		abort.Reason = "those that went ahead were as good as the others, and were not compared in time"
	default:
		abort.Reason = "too few requests at those that went ahead to compare them"
	}
	return abort
}

// leaveOfUnresponsiveMember treats an unresponsive member as having left. Only a mutation uses it.
func leaveOfUnresponsiveMember(s Status) (Command, bool) {
	for _, m := range s.Roster {
		if m.Name == s.WaitingFor[0] {
			return Command{Op: OpLeave, Member: m.Member}, true
		}
	}
	return Command{}, false
}

func listNames(names []string) string {
	if len(names) > maxNamesInReason {
		return strings.Join(names[:maxNamesInReason], ", ") + " and others"
	}
	return strings.Join(names, ", ")
}
