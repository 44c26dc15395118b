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

// Check returns an error that names the first field that cannot be.
func (s *Scenario) Check() error {
	type figure struct {
		name        string
		value       float64
		least, most float64
	}
	for _, f := range []figure{
		{"length", s.Length.seconds(), 0.001, maxLength.Seconds()},
		{"sidecars", float64(s.Sidecars), 1, maxSidecars}, {"servers", float64(s.Servers), 1, maxServers},
		{"zones", float64(len(s.Zones)), 1, 16}, {"load", s.Load, 0, 1000}, {"slots", float64(s.Slots), 0, 1e6},
		{"classes", float64(len(s.Classes)), 1, 64}, {"tenants", float64(len(s.Tenants)), 1, 10_000}, {"kinds", float64(len(s.Kinds)), 1, 64},
		{"network.near", s.Network.NearDelay.seconds(), 0, 10}, {"network.far", s.Network.FarDelay.seconds(), 0, 10},
		{"network.jitter", s.Network.Jitter, 0, 1}, {"network.connect_within", s.Network.ConnectTimeout.seconds(), 0.001, 60},
		{"network.idle_for", s.Network.IdleTimeout.seconds(), 0.001, 3600}, {"network.handshake", s.Network.HandshakeWork.seconds(), 0, 10},
		{"network.per_core", float64(s.Network.ConnectionsPerCore), 1, 1e6},
		{"list.notice", s.List.RemovalDelay.seconds(), 0, 3600}, {"list.add", s.List.AdditionDelay.seconds(), 0, 3600},
		{"list.period", s.List.Period.seconds(), 0.001, 60}, {"list.per_ms", s.List.PerMS, 1e-6, 1e9},
		{"list.per_call", float64(s.List.PerCall), 0, 1e6}, {"list.wait_most", s.List.MaxWait.seconds(), 0.001, 60},
		{"clients.uneven", s.Clients.TrafficCV, 0, 10}, {"clients.zone_skew", s.Clients.ZoneSkew, 0, 1}, {"clients.swing", s.Clients.Swing, 0, 1},
		{"clients.swing_time", s.Clients.SwingTime.seconds(), 0.1, 86400}, {"clients.retries", float64(s.Clients.Retries), 0, 100},
		{"clients.try_share", s.Clients.AttemptShare, 0.01, 1}, {"clients.backoff", s.Clients.Backoff.seconds(), 0.001, 60},
		{"clients.honour", s.Clients.HonourRetryAfter, 0, 1}, {"clients.leave", s.Clients.AbandonRate, 0, 1},
		{"keys.count", float64(s.Keys.Count), 1, 1e6}, {"keys.zipf", s.Keys.Zipf, 0, 5}, {"keys.gain", s.Keys.WarmSaving, 0, 1},
		{"keys.for", s.Keys.WarmWindow.seconds(), 0, 3600}, {"keys.per_core", float64(s.Keys.PerCore), 1, 1e6}, {"keys.cell", float64(s.Keys.CellSize), 1, 1000},
		{"rules.most_tries", float64(s.Rules.MaxAttempts), 1, 100}, {"rules.fall_multiple", s.Rules.OverloadFactor, 1, 1000},
		{"rules.fall_time", s.Rules.OverloadWindow.seconds(), 0.001, 60}, {"rules.answer_slack", s.Rules.AnswerSlack.seconds(), 0, 10},
		{"rules.stop_within", s.Rules.DrainGrace.seconds(), 0, 60}, {"rules.ask_within", s.Rules.PollDeadline.seconds(), 0.1, 3600},
		{"rules.retry_after", s.Rules.RetryAfter.seconds(), 0, 60},
		{"prices.cross_zone", s.Prices.CrossZone, 0, 10}, {"prices.waste", s.Prices.Waste, 0, 10}, {"prices.probe", s.Prices.Probe, 0, 10},
		{"prices.handshake", s.Prices.Handshake, 0, 10}, {"prices.late_fail", s.Prices.LateFail, 0, 10}, {"prices.over_share", s.Prices.OverShare, 0, 1},
	} {
		if !(f.value >= f.least && f.value <= f.most) { // so that no number fails too
			return fmt.Errorf("scenario: %s is %g, it must lie between %g and %g", f.name, f.value, f.least, f.most)
		}
	}
	shares := 0.0
	for i, c := range s.Classes {
		shares += c.Share
		if err := c.check(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
	}
	for i, t := range s.Tenants {
		if t.Name == "" || !(t.Share > 0) || !(t.Usage >= 0) || math.IsInf(t.Share+t.Usage, 0) {
			return fmt.Errorf("scenario: tenants[%d]: a name, a share above 0 and a usage of 0 or more are needed", i)
		}
	}
	kinds := 0.0
	for i, k := range s.Kinds {
		kinds += k.Share
		if k.Cores < 1 || k.Slots < 1 || k.QueueCapacity < 0 || !(k.Speed > 0) || !(k.SpeedCV >= 0) || !(k.Share >= 0) || !(k.SlowStartFloor > 0 && k.SlowStartFloor <= 1) ||
			k.SlowStartWindow < 0 || !(k.ErrorRate >= 0 && k.ErrorRate <= 1) || !(k.ConnectionCost >= 0 && k.ConnectionCost < 1) || k.ReportInterval <= 0 || !(k.Crowding >= 0) || !(k.ReportNoise >= 0) {
			return fmt.Errorf("scenario: kinds[%d] (%s): a figure is missing or out of range", i, k.Name)
		}
	}
	if !(shares > 0) || !(kinds > 0) {
		return errors.New("scenario: the shares of classes or kinds add up to nothing")
	}
	if err := checkIdealPolicy(s.IdealPolicy); err != nil {
		return err
	}
	for i, t := range s.Faults {
		if err := t.check(s); err != nil {
			return fmt.Errorf("scenario: troubles[%d]: %w", i, err)
		}
	}
	return nil
}

func (c Class) check(at string) error {
	switch {
	case c.Name == "":
		return fmt.Errorf("scenario: %s.name is missing", at)
	case !(c.Share >= 0) || !(c.PriorityWeight >= 0) || !(c.LateShare >= 0 && c.LateShare <= 1) || !(c.WorkCV >= 0):
		return fmt.Errorf("scenario: %s: share, worth, late_worth or spread is out of range", at)
	case c.Work <= 0 || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.DedupWindow < 0:
		return fmt.Errorf("scenario: %s: work and aim must be above 0, deadline not under aim", at)
	case !slices.Contains([]string{"lognormal", "pareto"}, c.Tail):
		return fmt.Errorf("scenario: %s.tail is %q; there are lognormal and pareto", at, c.Tail)
	case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Idempotency):
		return fmt.Errorf("scenario: %s.effect is %q; there are safe, keyed and unsafe", at, c.Idempotency)
	case c.Idempotency == "keyed" && !slices.Contains([]string{"all", "zone", "cell"}, c.DedupScope):
		return fmt.Errorf("scenario: %s.group is %q; there are all, zone and cell", at, c.DedupScope)
	}
	return nil
}
