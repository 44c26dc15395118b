package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RequestCounts are requests since a sidecar's start.
type RequestCounts struct {
	Requests uint64 `json:"asked"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Late     uint64 `json:"late"` // answers after their class's aim
}

// report takes a sidecar's counts while a few go ahead.
func (s *State) report(c Command) error {
	seat := s.roster[c.Member.Name]
	switch {
	case seat == nil || seat.Incarnation != c.Member.Incarnation:
		return fmt.Errorf("%w: %s has no seat: join first", ErrNotFound, c.Member.Name)
	case s.change == nil || s.change.Number != c.ChangeNumber || s.stage != StageCanary:
		return nil
	case seat.ReportedChange != c.ChangeNumber:
		seat.ReportedChange, seat.FirstReport = c.ChangeNumber, c.Counts
	}
	seat.LastReport = c.Counts
	s.version++
	return nil
}

// chooseCanaries draws who goes chooseCanaries: at least one, and others with each change.
func (s *State) chooseCanaries() []string {
	all := slices.Collect(maps.Keys(s.roster))
	by := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprint(s.change.Number, "/", name)) }
	slices.SortFunc(all, func(a, b string) int { return cmp.Or(cmp.Compare(by(a), by(b)), cmp.Compare(a, b)) })
	n := min(len(all), int(math.Ceil(s.change.CanaryFraction*float64(len(all)))))
	return slices.Sorted(slices.Values(all[:n]))
}

const (
	// minCanaryRequests is how many requests those that went ahead have to have had: with fewer,
	// a difference of some hundredths is chance.
	minCanaryRequests = 100
	// maxExcessFailures is how much more of their requests may end badly than of the others', beyond
	// what chance does (three standard deviations).
	maxExcessFailures = 0.02
)

// CompareCanaries holds those that went ahead with a change against the rest, by the part of
// their requests that were refused, failed or answered late meanwhile. enough says
// whether there were enough to tell.
func CompareCanaries(s Status) (worse string, enough bool) {
	var ahead, rest RequestCounts
	for _, seat := range s.Roster {
		if seat.ReportedChange != s.Change.Number || seat.LastReport.Requests < seat.FirstReport.Requests {
			continue // it has not reported, or has started again
		}
		sum := &rest
		if slices.Contains(s.Change.Canaries, seat.Name) {
			sum = &ahead
		}
		sum.Requests += seat.LastReport.Requests - seat.FirstReport.Requests
		sum.Refused += seat.LastReport.Refused - seat.FirstReport.Refused
		sum.Failed += seat.LastReport.Failed - seat.FirstReport.Failed
		sum.Late += seat.LastReport.Late - seat.FirstReport.Late
	}
	if ahead.Requests < minCanaryRequests {
		return "", false
	}
	part := func(c RequestCounts) float64 {
		return float64(c.Refused+c.Failed+c.Late) / float64(max(1, c.Requests))
	}
	a, r := part(ahead), part(rest)
	if chance := 3 * math.Sqrt(r*(1-min(1, r))/float64(ahead.Requests)); a > r+maxExcessFailures+chance {
		return fmt.Sprintf("%.3f of their %d requests ended badly (%d refused, %d failed, %d late), %.3f of the others' %d",
			a, ahead.Requests, ahead.Refused, ahead.Failed, ahead.Late, r, rest.Requests), true
	}
	return "", true
}
