package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCanaryRequests is the number of requests that the canaries must have received: with
	// fewer, a difference of a few hundredths in the failure rate may be chance.
	minCanaryRequests = 100
	// maxExcessFailures is how much higher the canaries' failure rate may be than the others',
	// beyond chance.
	maxExcessFailures = 0.02
	// chanceDeviations is the number of standard deviations that count as chance.
	chanceDeviations = 3
)

// RequestCounts counts the requests since a sidecar's start.
type RequestCounts struct {
	Requests uint64 `json:"asked"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Late     uint64 `json:"late"` // answered after the latency objective of their class
}

// addDifference adds the requests between two reports.
func (c *RequestCounts) addDifference(first, last RequestCounts) {
	c.Requests += last.Requests - first.Requests
	c.Refused += last.Refused - first.Refused
	c.Failed += last.Failed - first.Failed
	c.Late += last.Late - first.Late
}

// failureRate returns the fraction of requests that were refused, failed or answered late.
func (c RequestCounts) failureRate() float64 {
	return float64(c.Refused+c.Failed+c.Late) / float64(max(1, c.Requests))
}

// report records a member's counts during StageCanary.
func (s *State) report(c Command) error {
	m, err := s.rosterMember(c.Member)
	if err != nil {
		return err
	}
	if s.change == nil || s.change.Number != c.ChangeNumber || s.stage != StageCanary {
		return nil
	}
	if m.ReportedChange != c.ChangeNumber {
		m.ReportedChange, m.FirstReport = c.ChangeNumber, c.Counts
	}
	m.LastReport = c.Counts
	s.version++
	return nil
}

// chooseCanaries returns the canaries of the change: at least one, and different ones for
// each change. The order by hash is the same at every replica.
func (s *State) chooseCanaries() []string {
	names := slices.Collect(maps.Keys(s.roster))
	hash := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprint(s.change.Number, "/", name)) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b)) })
	n := min(len(names), int(math.Ceil(s.change.CanaryFraction*float64(len(names)))))
	return slices.Sorted(slices.Values(names[:n]))
}

// CompareCanaries compares the failure rate of the canaries with that of the others. worse
// describes the difference if the canaries' rate is too high, and is empty otherwise. enough
// reports whether the canaries have received enough requests for the comparison.
func CompareCanaries(s Status) (worse string, enough bool) {
	canaries, others := sumReports(s)
	if canaries.Requests < minCanaryRequests {
		return "", false
	}
	rate, expected := canaries.failureRate(), others.failureRate()
	chance := chanceDeviations * math.Sqrt(expected*(1-min(1, expected))/float64(canaries.Requests))
	if rate <= expected+maxExcessFailures+chance {
		return "", true
	}
	return fmt.Sprintf("%.3f of their %d requests ended badly (%d refused, %d failed, %d late), %.3f of the others' %d",
		rate, canaries.Requests, canaries.Refused, canaries.Failed, canaries.Late, expected, others.Requests), true
}

// sumReports adds up the requests that were reported during the change. It leaves out
// members that have not reported, and those whose counters were reset.
func sumReports(s Status) (canaries, others RequestCounts) {
	for _, m := range s.Roster {
		if m.ReportedChange != s.Change.Number || m.LastReport.Requests < m.FirstReport.Requests {
			continue
		}
		sum := &others
		if slices.Contains(s.Change.Canaries, m.Name) {
			sum = &canaries
		}
		sum.addDifference(m.FirstReport, m.LastReport)
	}
	return canaries, others
}
