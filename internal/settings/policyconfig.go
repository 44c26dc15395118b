package settings

import (
	"barleywick/policy"
	"fmt"
	"math"
	"slices"
)

// PolicyConfig turns the settings into the module's own.
func (s *Settings) PolicyConfig() (policy.Config, error) {
	c := policy.Config{
		Balancers:          s.count("balancers"),
		Zone:               s.count("zone"),
		MaxAttempts:        s.count("caps.most_tries"),
		MayCancel:          s.flag("caps.may_cancel"),
		MayProbe:           s.flag("caps.probes"),
		LoadReports:        s.flag("caps.probes") && s.text("telemetry.how") != "silent",
		MaxRetryAfter:      DurationFromMillis(s.nonNegative("caps.max_retry_after_ms")),
		KeyAffinity:        s.flag("family_info.warm_keys"),
		ClientsMarkRetries: s.flag("client_habits.marks_retry"),
		EventPeriod:        DurationFromMillis(s.nonNegative("period_ms")),
		PollList:           s.text("discovery") == "ask",
		PollDeadline:       DurationFromMillis(s.nonNegative("rules.ask_within_ms")),
		DrainGrace:         DurationFromMillis(s.nonNegative("rules.stop_sending_within_ms")),
		SlowStartFloor:     s.nonNegative("rules.cold_from"),
		SlowStartWindow:    DurationFromMillis(s.nonNegative("rules.cold_ms")),
		OverloadFactor:     s.nonNegative("rules.fall_multiple"),
		CrossZoneCost:      s.nonNegative("charges.cross_zone"),
	}
	for i := range s.count("classes.count") {
		p := fmt.Sprintf("classes.%d.", i)
		k := policy.Class{
			LatencyObjective:    DurationFromMillis(s.nonNegative(p + "aim_ms")),
			ObjectiveWorkFactor: s.nonNegative(p + "aim_stretch"),
			Deadline:            DurationFromMillis(s.nonNegative(p + "hard_limit_ms")),
			LateShare:           s.nonNegative(p + "late_share"),
			PriorityWeight:      s.nonNegative(p + "worth"),
			DedupWindow:         DurationFromMillis(s.nonNegative(p + "window_ms")),
			Idempotency:         policy.NonIdempotent, // an unknown word is taken for the strictest
			DedupScope:          policy.ScopeCell,
		}
		switch s.text(p + "semantics") {
		case "free":
			k.Idempotency = policy.Idempotent
		case "guarded":
			k.Idempotency = policy.IdempotentByKey
		}
		switch s.text(p + "dedup_scope") {
		case "all":
			k.DedupScope = policy.ScopeAll
		case "zone":
			k.DedupScope = policy.ScopeZone
		}
		c.Classes = append(c.Classes, k)
	}
	for i := range s.count("orgs.count") {
		p := fmt.Sprintf("orgs.%d.", i)
		c.Tenants = append(c.Tenants, policy.Tenant{
			Share: s.nonNegative(p + "share"),
			Quota: s.nonNegative(p + "quota_per_s"),
		})
	}
	s.validate(c)
	return c, s.err
}

// validate names what nothing can be built on, in the words of the settings and not in the module's.
func (s *Settings) validate(c policy.Config) {
	if c.Balancers < 1 {
		s.fail("balancers is %d, at least 1 is needed", c.Balancers)
	}
	if c.MaxAttempts < 1 {
		s.fail("caps.most_tries is %d, at least 1 is needed", c.MaxAttempts)
	}
	if how := s.text("discovery"); how != "" && how != "ask" && how != "push" {
		s.fail("discovery is %.40q; there are push and ask", how)
	}
	if len(c.Classes) == 0 {
		s.fail("classes is missing or empty, at least one class is needed")
	}
	for i, k := range c.Classes {
		if k.LatencyObjective <= 0 {
			s.fail("classes.%d.aim_ms is %g, it must be above 0", i, k.LatencyObjective.Seconds()*1e3)
		}
		if k.Deadline <= 0 {
			s.fail("classes.%d.hard_limit_ms is %g, it must be above 0", i, k.Deadline.Seconds()*1e3)
		}
	}
	if c.SlowStartFloor > 1 {
		s.fail("rules.cold_from is %g, a share is needed", c.SlowStartFloor)
	}
	shares := 0.0
	for _, t := range c.Tenants {
		shares += t.Share
	}
	if len(c.Tenants) > 0 && !(shares > 0) || math.IsInf(shares, 1) {
		s.fail("orgs: the share of all adds up to %g, it must be above 0", shares)
	}
	for _, list := range []string{"classes", "orgs"} {
		names := s.Names(list)
		for i, name := range names {
			if name != "" && slices.Contains(names[:i], name) {
				s.fail("%s.%d.name: %.40q is named twice", list, i, name)
			}
		}
	}
}
