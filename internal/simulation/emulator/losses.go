package emulator

import (
	"maps"
	"slices"
	"time"

	"barleywick/policy"
)

// This file attributes the weight that was requested and not served to causes. Each call's loss has exactly
// one cause, so that the causes add up to the total.

// Causes of a loss. The texts are keys of Record.LostWeight in reports and must not change.
const (
	causeBulkheadFull  = "refused: the wall was full"
	causeShed          = "refused: shed as late"
	causeQueue         = "refused: waited here"
	causeRejected      = "refused: servers were full"
	causeConnect       = "refused: no connection"
	causeOther         = "refused: otherwise"
	causeKilled        = "its sidecar was killed"
	causeNoServer      = "failed: never sent"
	causeServerQueue   = "failed: waited at the server"
	causeServerTimeout = "failed: the server took too long"
	causeUnreachable   = "failed: the server was silent or cut off"
	causeError         = "failed: the server answered with an error"
	causeMalformed     = "failed: the answer was spoilt"
	causeBroken        = "failed: the connection broke"
	causeFail          = "failed: otherwise"
	causeNoAnswer      = "failed: no answer"

	causeLateEarlierAttempts = "late: earlier tries"
	causeLateQueuedHere      = "late: waited here"
	causeLateServerQueue     = "late: waited at the server"
	causeLateCold            = "late: a cold server"
	causeLateSlow            = "late: a slow server"
	causeLateWork            = "late: its own work"
	causeLateNetwork         = "late: on its way"
)

// Causes lists the causes of a record's losses, the largest first.
func (r *Record) Causes() []string {
	return slices.SortedFunc(maps.Keys(r.LostWeight), func(a, b string) int {
		switch {
		case r.LostWeight[a] > r.LostWeight[b]:
			return -1
		case r.LostWeight[a] < r.LostWeight[b]:
			return 1
		}
		return slices.Compare([]string{a}, []string{b})
	})
}

// LostShare returns the fraction of the requested weight that was lost to a cause.
func (r *Record) LostShare(cause string) float64 {
	requested := 0.0
	for _, c := range r.Classes {
		requested += c.Requested
	}
	if requested == 0 {
		return 0
	}
	return r.LostWeight[cause] / requested
}

// addLoss adds lost weight to a cause.
func (r *Record) addLoss(cause string, weight float64) {
	if weight != 0 {
		r.LostWeight[cause] += weight
	}
}

// shedCount returns how many requests a decision module has shed; 0 if it does not count them.
func shedCount(d Decider) uint64 {
	if c, ok := d.(interface{ Counters() policy.Counters }); ok {
		return c.Counters().Shed
	}
	return 0
}

// refusalCause returns why an attempt was refused.
func (r *request) refusalCause(now time.Duration) string {
	switch n := len(r.attempts); {
	case n > 0 && r.attempts[n-1].ending == policy.Rejected:
		return causeRejected
	case n > 0 && r.attempts[n-1].ending == policy.NoConnection:
		return causeConnect
	case n > 0:
		return causeOther
	case now > r.receivedAt:
		return causeQueue
	case r.shed:
		return causeShed
	}
	return causeBulkheadFull
}

// failureCause returns why an attempt failed.
func (r *request) failureCause() string {
	if len(r.attempts) == 0 {
		return causeNoServer
	}
	a := r.attempts[len(r.attempts)-1]
	switch {
	case a.malformed:
		return causeMalformed
	case a.ending == policy.Errored:
		return causeError
	case a.ending == policy.Broken:
		return causeBroken
	case a.ending != policy.TimedOut:
		return causeFail
	case a.job == nil:
		return causeUnreachable
	case a.job.Started == 0:
		return causeServerQueue
	}
	return causeServerTimeout
}

// latenessCause returns the cause that took most of the time of a call that was served late.
func (r *request) latenessCause(now time.Duration) string {
	a := r.attempts[len(r.attempts)-1]
	for _, b := range r.attempts { // prefer the attempt that was served
		if b.ending == policy.Served {
			a = b
		}
	}
	job, networkTime := a.job, now-a.sentAt
	parts := []struct {
		cause string
		took  time.Duration
	}{{causeLateEarlierAttempts, r.receivedAt - r.call.startedAt}, {causeLateQueuedHere, a.sentAt - r.receivedAt}}
	if job != nil && job.Started > 0 {
		service := job.Done - job.Started
		own := min(service, time.Duration(job.work/a.server.Speed*float64(time.Second)))
		extra := causeLateSlow
		if job.Cold {
			extra = causeLateCold
		}
		networkTime -= job.Done - job.Arrived
		parts = append(parts, []struct {
			cause string
			took  time.Duration
		}{{causeLateServerQueue, job.Started - job.Arrived}, {causeLateWork, own}, {extra, service - own}}...)
	}
	cause, longest := causeLateNetwork, networkTime
	for _, p := range parts {
		if p.took > longest {
			cause, longest = p.cause, p.took
		}
	}
	return cause
}
