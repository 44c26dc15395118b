package simadapter

import (
	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
)

func ending(code uint16) policy.Ending {
	switch code {
	case simwire.OutcomeServed:
		return policy.Served
	case simwire.OutcomeRejected:
		return policy.Rejected
	case simwire.OutcomeTimedOut:
		return policy.TimedOut
	case simwire.OutcomeNoConnection:
		return policy.NoConnection
	case simwire.OutcomeBroken:
		return policy.Broken
	case simwire.OutcomeCancelled:
		return policy.Cancelled
	case simwire.OutcomeNotSent:
		return policy.NotSent
	}
	return policy.Errored // it may have run, as may whatever is not known
}

func servers(entries []simwire.Entry) []policy.Endpoint {
	list := make([]policy.Endpoint, len(entries))
	for i, e := range entries {
		list[i] = policy.Endpoint{
			ID: policy.ServerID(e.Upstream), Zone: int(e.Area), Cell: int(e.Cohort), Weight: e.Rating, Started: e.Boot,
		}
		switch e.Status {
		case simwire.StatusReady:
			list[i].State = policy.Ready
		case simwire.StatusGone:
			list[i].State = policy.Removed
		default:
			list[i].State = policy.Draining // nothing new, whatever it is
		}
	}
	return list
}
