package settings

import (
	"fmt"
	"math"
	"slices"

	"barleywick/policy"
)

// PolicyConfig converts the settings to the configuration of package policy. The error, if any, names the
// first invalid value by its path.
func (s *Settings) PolicyConfig() (policy.Config, error) {
	c := policy.Config{
		Balancers:          s.count("balancers"),
		Zone:               s.count("zone"),
		MaxAttempts:        s.count("caps.most_tries"),
		MayCancel:          s.flag("caps.may_cancel"),
		MayProbe:           s.flag("caps.probes"),
		LoadReports:        s.flag("caps.probes") && s.text("telemetry.how") != "silent",
		MaxRetryAfter:      s.millis("caps.max_retry_after_ms"),
		KeyAffinity:        s.flag("family_info.warm_keys"),
		ClientsMarkRetries: s.flag("client_habits.marks_retry"),
		EventPeriod:        s.millis("period_ms"),
		PollList:           s.text("discovery") == "ask",
		PollDeadline:       s.millis("rules.ask_within_ms"),
		DrainGrace:         s.millis("rules.stop_sending_within_ms"),
		SlowStartFloor:     s.nonNegative("rules.cold_from"),
		SlowStartWindow:    s.millis("rules.cold_ms"),
		OverloadFactor:     s.nonNegative("rules.fall_multiple"),
		CrossZoneCost:      s.nonNegative("charges.cross_zone"),
	}
	for i := range s.count("classes.count") {
		c.Classes = append(c.Classes, s.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range s.count("orgs.count") {
		path := fmt.Sprintf("orgs.%d.", i)
		c.Tenants = append(c.Tenants, policy.Tenant{
			Share: s.nonNegative(path + "share"),
			Quota: s.nonNegative(path + "quota_per_s"),
		})
	}
	s.validate(c)
	return c, s.err
}

// class reads a class of requests. An unknown value of semantics or dedup_scope counts as the strictest one.
func (s *Settings) class(path string) policy.Class {
	c := policy.Class{
		LatencyObjective:    s.millis(path + "aim_ms"),
		ObjectiveWorkFactor: s.nonNegative(path + "aim_stretch"),
		Deadline:            s.millis(path + "hard_limit_ms"),
		LateShare:           s.nonNegative(path + "late_share"),
		PriorityWeight:      s.nonNegative(path + "worth"),
		DedupWindow:         s.millis(path + "window_ms"),
		Idempotency:         policy.NonIdempotent,
		DedupScope:          policy.ScopeCell,
	}
	switch s.text(path + "semantics") {
	case "free":
		c.Idempotency = policy.Idempotent
	case "guarded":
		c.Idempotency = policy.IdempotentByKey
	}
	switch s.text(path + "dedup_scope") {
	case "all":
		c.DedupScope = policy.ScopeAll
	case "zone":
		c.DedupScope = policy.ScopeZone
	}
	return c
}

// validate records the first value that package policy cannot use, by its path in the settings.
func (s *Settings) validate(c policy.Config) {
	if c.Balancers < 1 {
		s.fail("balancers is %d, at least 1 is needed", c.Balancers)
	}
	if c.MaxAttempts < 1 {
		s.fail("caps.most_tries is %d, at least 1 is needed", c.MaxAttempts)
	}
	if mode := s.text("discovery"); mode != "" && mode != "ask" && mode != "push" {
		s.fail("discovery is %.40q, want push or ask", mode)
	}
	s.validateClasses(c.Classes)
	if c.SlowStartFloor > 1 {
		s.fail("rules.cold_from is %g, want at most 1", c.SlowStartFloor)
	}
	s.validateShares(c.Tenants)
	s.validateNames("classes")
	s.validateNames("orgs")
}

func (s *Settings) validateClasses(classes []policy.Class) {
	if len(classes) == 0 {
		s.fail("classes is missing or empty, at least one class is needed")
	}
	for i, c := range classes {
		if c.LatencyObjective <= 0 {
			s.fail("classes.%d.aim_ms is %g, it must be above 0", i, c.LatencyObjective.Seconds()*1e3)
		}
		if c.Deadline <= 0 {
			s.fail("classes.%d.hard_limit_ms is %g, it must be above 0", i, c.Deadline.Seconds()*1e3)
		}
	}
}

func (s *Settings) validateShares(tenants []policy.Tenant) {
	sum := 0.0
	for _, t := range tenants {
		sum += t.Share
	}
	if len(tenants) > 0 && !(sum > 0) || math.IsInf(sum, 1) {
		s.fail("orgs: the shares add up to %g, want a finite sum above 0", sum)
	}
}

// validateNames records an error if a list has two objects of the same name.
func (s *Settings) validateNames(list string) {
	names := s.Names(list)
	for i, name := range names {
		if name != "" && slices.Contains(names[:i], name) {
			s.fail("%s.%d.name: duplicate name %.40q", list, i, name)
		}
	}
}
