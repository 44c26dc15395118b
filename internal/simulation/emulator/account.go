package emulator

import (
	"maps"
	"slices"
	"time"

	"barleywick/policy"
)

// The account says where the worth went that was asked for and not served. Each
// call's loss has one cause, so that the causes add up to the whole.

// Causes of a loss.
const (
	causeWall     = "refused: the wall was full"
	causeShed     = "refused: shed as late"
	causeQueue    = "refused: waited here"
	causeAway     = "refused: servers were full"
	causeConnect  = "refused: no connection"
	causeOther    = "refused: otherwise"
	causeKilled   = "its sidecar was killed"
	causeNoServer = "failed: never sent"
	causeThere    = "failed: waited at the server"
	causeRan      = "failed: the server took too long"
	causeSilent   = "failed: the server was silent or cut off"
	causeError    = "failed: the server answered with an error"
	causeSpoilt   = "failed: the answer was spoilt"
	causeBroken   = "failed: the connection broke"
	causeFail     = "failed: otherwise"
	causeNoAnswer = "failed: no answer"

	causeLateTries = "late: earlier tries"
	causeLateHere  = "late: waited here"
	causeLateThere = "late: waited at the server"
	causeLateCold  = "late: a cold server"
	causeLateSlow  = "late: a slow server"
	causeLateWork  = "late: its own work"
	causeLateWay   = "late: on its way"
)

// Causes lists what a record's losses have, the largest first.
func (r *Record) Causes() []string {
	return slices.SortedFunc(maps.Keys(r.Losses), func(a, b string) int {
		switch {
		case r.Losses[a] > r.Losses[b]:
			return -1
		case r.Losses[a] < r.Losses[b]:
			return 1
		}
		return slices.Compare([]string{a}, []string{b})
	})
}

// LostPart is a cause's part of all that was asked for.
func (r *Record) LostPart(cause string) float64 {
	asked := 0.0
	for _, c := range r.Classes {
		asked += c.Asked
	}
	if asked == 0 {
		return 0
	}
	return r.Losses[cause] / asked
}

// lose books a loss.
func (r *Record) lose(cause string, worth float64) {
	if worth != 0 {
		r.Losses[cause] += worth
	}
}

// sheds is how many requests a module has shed, where it tells.
func sheds(d Decider) uint64 {
	if c, ok := d.(interface{ Counters() policy.Counters }); ok {
		return c.Counters().Shed
	}
	return 0
}

// refusal is why a try was refused.
func (r *request) refusal(now time.Duration) string {
	switch n := len(r.attempts); {
	case n > 0 && r.attempts[n-1].ending == policy.Rejected:
		return causeAway
	case n > 0 && r.attempts[n-1].ending == policy.NoConnection:
		return causeConnect
	case n > 0:
		return causeOther
	case now > r.began:
		return causeQueue
	case r.shed:
		return causeShed
	}
	return causeWall
}

// failure is why a try failed.
func (r *request) failure() string {
	if len(r.attempts) == 0 {
		return causeNoServer
	}
	a := r.attempts[len(r.attempts)-1]
	switch {
	case a.spoilt:
		return causeSpoilt
	case a.ending == policy.Errored:
		return causeError
	case a.ending == policy.Broken:
		return causeBroken
	case a.ending != policy.TimedOut:
		return causeFail
	case a.job == nil:
		return causeSilent
	case a.job.Begun == 0:
		return causeThere
	}
	return causeRan
}

// lateness is what took most of the time of a call that was served late.
func (r *request) lateness(now time.Duration) string {
	a := r.attempts[len(r.attempts)-1]
	for _, b := range r.attempts { // the one that was served
		if b.ending == policy.Served {
			a = b
		}
	}
	j, way := a.job, now-a.sent
	parts := []struct {
		cause string
		took  time.Duration
	}{{causeLateTries, r.began - r.call.began}, {causeLateHere, a.sent - r.began}}
	if j != nil && j.Begun > 0 {
		service := j.Done - j.Begun
		own := min(service, time.Duration(j.spent/a.to.Speed*float64(time.Second)))
		extra := causeLateSlow
		if j.Cold {
			extra = causeLateCold
		}
		way -= j.Done - j.Arrived
		parts = append(parts, []struct {
			cause string
			took  time.Duration
		}{{causeLateThere, j.Begun - j.Arrived}, {causeLateWork, own}, {extra, service - own}}...)
	}
	cause, most := causeLateWay, way
	for _, p := range parts {
		if p.took > most {
			cause, most = p.cause, p.took
		}
	}
	return cause
}
