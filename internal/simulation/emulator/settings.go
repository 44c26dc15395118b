package emulator

import (
	"time"

	"barleywick/policy"
)

// Settings returns the section 'settings' of a sidecar's configuration file for this scenario, in the
// platform's format.
func (s *Scenario) Settings(sidecar int) map[string]any {
	toMillis := func(d Duration) float64 { return float64(d) / float64(time.Millisecond) }
	p := s.Policy(s.ZoneOf(sidecar))
	semantics := map[string]string{"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
	var classes, tenants []map[string]any
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "aim_ms": toMillis(c.LatencyObjective), "hard_limit_ms": toMillis(c.Deadline), "late_share": c.LateShare, "worth": c.PriorityWeight,
			"semantics": semantics[c.Idempotency], "dedup_scope": c.DedupScope, "window_ms": toMillis(c.DedupWindow), "stream": false,
		})
	}
	for i, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "share": t.Share, "quota_per_s": s.quota(i)})
	}
	return map[string]any{
		"balancers": s.Sidecars, "me": sidecar, "zone": s.ZoneOf(sidecar), "zones": s.Zones,
		"classes": classes, "orgs": tenants, "discovery": "ask", "weights": "rough", "worth_by": "work",
		"family_info": map[string]any{"warm_keys": p.KeyAffinity},
		"telemetry":   map[string]any{"how": "pull", "columns": []string{"pending", "cpu_share", "served_ps"}},
		"caps": map[string]any{
			"most_tries": s.Rules.MaxAttempts, "may_cancel": true, "probes": true, "retry_after": true, "second_copies": true,
			"max_retry_after_ms": toMillis(s.Rules.RetryAfter), "dial_timeout_ms": toMillis(s.Network.ConnectTimeout), "conn_idle_ms": toMillis(s.Network.IdleTimeout),
		},
		"charges": map[string]any{"cross_zone": s.Prices.CrossZone, "probe": s.Prices.Probe, "waste": s.Prices.Waste, "handshake": s.Prices.Handshake, "late_fail": s.Prices.LateFail},
		"rules": map[string]any{
			"answer_slack_ms": toMillis(s.Rules.AnswerSlack), "ask_within_ms": toMillis(s.Rules.PollDeadline), "stop_sending_within_ms": toMillis(s.Rules.DrainGrace),
			"fall_multiple": s.Rules.OverloadFactor, "overload_for_ms": toMillis(s.Rules.OverloadWindow), "cold_from": p.SlowStartFloor, "cold_ms": toMillis(Duration(p.SlowStartWindow)),
		},
	}
}

// Policy returns the configuration of a sidecar's decision module in this scenario.
func (s *Scenario) Policy(zone int) policy.Config {
	c := policy.Config{
		Balancers: s.Sidecars, Zone: zone, Slots: s.Slots,
		MaxAttempts: s.Rules.MaxAttempts, MayCancel: true, MayProbe: true, LoadReports: true,
		MaxRetryAfter: time.Duration(s.Rules.RetryAfter), KeyAffinity: s.Keys.WarmSaving > 0,
		PollList: true, PollDeadline: time.Duration(s.Rules.PollDeadline), DrainGrace: time.Duration(s.Rules.DrainGrace), OverloadFactor: s.Rules.OverloadFactor,
		SlowStartFloor: 1, CrossZoneCost: s.Prices.CrossZone,
	}
	for _, k := range s.Kinds {
		c.SlowStartFloor = min(c.SlowStartFloor, k.SlowStartFloor)
		c.SlowStartWindow = max(c.SlowStartWindow, time.Duration(k.SlowStartWindow))
	}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, policy.Class{
			LatencyObjective: time.Duration(k.LatencyObjective), Deadline: time.Duration(k.Deadline), LateShare: k.LateShare, PriorityWeight: k.PriorityWeight,
			Idempotency: k.idempotency(), DedupScope: k.dedupScope(), DedupWindow: time.Duration(k.DedupWindow),
		})
	}
	for i := range s.Tenants {
		c.Tenants = append(c.Tenants, policy.Tenant{Share: s.Tenants[i].Share, Quota: s.quota(i)})
	}
	return c
}

// quotaShare is the fraction of the servers' capacity that is granted to the tenants as quotas.
const quotaShare = 0.82

// quota returns a tenant's quota in requests per second over all sidecars.
func (s *Scenario) quota(tenant int) float64 {
	shares := 0.0
	for _, t := range s.Tenants {
		shares += t.Share
	}
	if s.Load == 0 {
		return 0
	}
	return s.Tenants[tenant].Share / shares * s.Rate() / s.Load * quotaShare
}

func (c Class) idempotency() policy.Idempotency {
	return map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}[c.Idempotency]
}

func (c Class) dedupScope() policy.DedupScope {
	return map[string]policy.DedupScope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}[c.DedupScope]
}
