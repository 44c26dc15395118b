package emulator

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	maxSidecars = 10_000
	maxServers  = 10_000
	maxLength   = 2 * time.Hour
)

// rangeCheck is a number of a scenario with its allowed range.
type rangeCheck struct {
	name     string
	value    float64
	min, max float64
}

// check returns an error if the value is out of range or not a number.
func (f rangeCheck) check() error {
	if f.value >= f.min && f.value <= f.max {
		return nil
	}
	return fmt.Errorf("scenario: %s is %g, it must lie between %g and %g", f.name, f.value, f.min, f.max)
}

// Check returns an error that names the first field that is out of range.
func (s *Scenario) Check() error {
	for _, checks := range [][]rangeCheck{
		s.rangeChecks(), s.Network.rangeChecks(), s.List.rangeChecks(), s.Clients.rangeChecks(), s.Keys.rangeChecks(), s.Rules.rangeChecks(), s.Prices.rangeChecks(),
	} {
		for _, f := range checks {
			if err := f.check(); err != nil {
				return err
			}
		}
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	if err := s.checkTenants(); err != nil {
		return err
	}
	if err := s.checkKinds(); err != nil {
		return err
	}
	if err := checkIdealPolicy(s.IdealPolicy); err != nil {
		return err
	}
	for i, f := range s.Faults {
		if err := f.check(s); err != nil {
			return fmt.Errorf("scenario: troubles[%d]: %w", i, err)
		}
	}
	return nil
}

func (s *Scenario) rangeChecks() []rangeCheck {
	return []rangeCheck{
		{"length", s.Length.seconds(), 0.001, maxLength.Seconds()},
		{"sidecars", float64(s.Sidecars), 1, maxSidecars},
		{"servers", float64(s.Servers), 1, maxServers},
		{"zones", float64(len(s.Zones)), 1, 16},
		{"load", s.Load, 0, 1000},
		{"slots", float64(s.Slots), 0, 1e6},
		{"classes", float64(len(s.Classes)), 1, 64},
		{"tenants", float64(len(s.Tenants)), 1, 10_000},
		{"kinds", float64(len(s.Kinds)), 1, 64},
	}
}

func (n Network) rangeChecks() []rangeCheck {
	return []rangeCheck{
		{"network.near", n.NearDelay.seconds(), 0, 10},
		{"network.far", n.FarDelay.seconds(), 0, 10},
		{"network.jitter", n.Jitter, 0, 1},
		{"network.connect_within", n.ConnectTimeout.seconds(), 0.001, 60},
		{"network.idle_for", n.IdleTimeout.seconds(), 0.001, 3600},
		{"network.handshake", n.HandshakeWork.seconds(), 0, 10},
		{"network.per_core", float64(n.ConnectionsPerCore), 1, 1e6},
	}
}

func (l ListService) rangeChecks() []rangeCheck {
	return []rangeCheck{
		{"list.notice", l.RemovalDelay.seconds(), 0, 3600},
		{"list.add", l.AdditionDelay.seconds(), 0, 3600},
		{"list.period", l.Period.seconds(), 0.001, 60},
		{"list.per_ms", l.PerMS, 1e-6, 1e9},
		{"list.per_call", float64(l.PerCall), 0, 1e6},
		{"list.wait_most", l.MaxWait.seconds(), 0.001, 60},
	}
}

func (c Clients) rangeChecks() []rangeCheck {
	return []rangeCheck{
		{"clients.uneven", c.TrafficCV, 0, 10},
		{"clients.zone_skew", c.ZoneSkew, 0, 1},
		{"clients.swing", c.Swing, 0, 1},
		{"clients.swing_time", c.SwingTime.seconds(), 0.1, 86400},
		{"clients.retries", float64(c.Retries), 0, 100},
		{"clients.try_share", c.AttemptShare, 0.01, 1},
		{"clients.backoff", c.Backoff.seconds(), 0.001, 60},
		{"clients.honour", c.HonourRetryAfter, 0, 1},
		{"clients.leave", c.AbandonRate, 0, 1},
	}
}

func (k Keys) rangeChecks() []rangeCheck {
	return []rangeCheck{
		{"keys.count", float64(k.Count), 1, 1e6},
		{"keys.zipf", k.Zipf, 0, 5},
		{"keys.gain", k.WarmSaving, 0, 1},
		{"keys.for", k.WarmWindow.seconds(), 0, 3600},
		{"keys.per_core", float64(k.PerCore), 1, 1e6},
		{"keys.cell", float64(k.CellSize), 1, 1000},
	}
}

func (r Rules) rangeChecks() []rangeCheck {
	return []rangeCheck{
		{"rules.most_tries", float64(r.MaxAttempts), 1, 100},
		{"rules.fall_multiple", r.OverloadFactor, 1, 1000},
		{"rules.fall_time", r.OverloadWindow.seconds(), 0.001, 60},
		{"rules.answer_slack", r.AnswerSlack.seconds(), 0, 10},
		{"rules.stop_within", r.DrainGrace.seconds(), 0, 60},
		{"rules.ask_within", r.PollDeadline.seconds(), 0.1, 3600},
		{"rules.retry_after", r.RetryAfter.seconds(), 0, 60},
	}
}

func (p Prices) rangeChecks() []rangeCheck {
	return []rangeCheck{
		{"prices.cross_zone", p.CrossZone, 0, 10},
		{"prices.waste", p.Waste, 0, 10},
		{"prices.probe", p.Probe, 0, 10},
		{"prices.handshake", p.Handshake, 0, 10},
		{"prices.late_fail", p.LateFail, 0, 10},
		{"prices.over_share", p.OverShare, 0, 1},
	}
}

// checkClasses checks each class and that the sum of their shares is above 0.
func (s *Scenario) checkClasses() error {
	shares := 0.0
	for i, c := range s.Classes {
		shares += c.Share
		if err := c.check(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
	}
	if !(shares > 0) {
		return errNoShares
	}
	return nil
}

var errNoShares = errors.New("scenario: the sum of the shares of classes or kinds is 0, want more than 0")

func (s *Scenario) checkTenants() error {
	for i, t := range s.Tenants {
		if t.Name == "" || !(t.Share > 0) || !(t.Usage >= 0) || math.IsInf(t.Share+t.Usage, 0) {
			return fmt.Errorf("scenario: tenants[%d]: want a name, a share above 0 and a usage of at least 0", i)
		}
	}
	return nil
}

// checkKinds checks each kind of machine and that the sum of their shares is above 0.
func (s *Scenario) checkKinds() error {
	shares := 0.0
	for i, k := range s.Kinds {
		shares += k.Share
		if !k.valid() {
			return fmt.Errorf("scenario: kinds[%d] (%s): a value is missing or out of range", i, k.Name)
		}
	}
	if !(shares > 0) {
		return errNoShares
	}
	return nil
}

// valid reports whether all values of a kind of machine are within their ranges.
func (k MachineKind) valid() bool {
	for _, ok := range []bool{
		k.Cores >= 1,
		k.Slots >= 1,
		k.QueueCapacity >= 0,
		k.Speed > 0,
		k.SpeedCV >= 0,
		k.Share >= 0,
		k.SlowStartFloor > 0 && k.SlowStartFloor <= 1,
		k.SlowStartWindow >= 0,
		k.ErrorRate >= 0 && k.ErrorRate <= 1,
		k.ConnectionCost >= 0 && k.ConnectionCost < 1,
		k.ReportInterval > 0,
		k.Crowding >= 0,
		k.ReportNoise >= 0,
	} {
		if !ok {
			return false
		}
	}
	return true
}

// check checks one class; path identifies it in the error.
func (c Class) check(path string) error {
	switch {
	case c.Name == "":
		return fmt.Errorf("scenario: %s.name is missing", path)
	case !(c.Share >= 0) || !(c.PriorityWeight >= 0) || !(c.LateShare >= 0 && c.LateShare <= 1) || !(c.WorkCV >= 0):
		return fmt.Errorf("scenario: %s: share, worth, late_worth or spread is out of range", path)
	case c.Work <= 0 || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.DedupWindow < 0:
		return fmt.Errorf("scenario: %s: work and aim must be above 0, window at least 0 and deadline at least aim", path)
	case !slices.Contains([]string{"lognormal", "pareto"}, c.Tail):
		return fmt.Errorf("scenario: %s.tail is %q, want lognormal or pareto", path, c.Tail)
	case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Idempotency):
		return fmt.Errorf("scenario: %s.effect is %q, want safe, keyed or unsafe", path, c.Idempotency)
	case c.Idempotency == "keyed" && !slices.Contains([]string{"all", "zone", "cell"}, c.DedupScope):
		return fmt.Errorf("scenario: %s.group is %q, want all, zone or cell", path, c.DedupScope)
	}
	return nil
}
