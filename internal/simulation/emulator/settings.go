package emulator

import "time"

// Settings is what a sidecar's configuration file holds on this day under
// 'settings', in the platform's form.
func (s *Scenario) Settings(sidecar int) map[string]any {
	ms := func(d Duration) float64 { return float64(d) / float64(time.Millisecond) }
	p := s.Policy(s.ZoneOf(sidecar))
	semantics := map[string]string{"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
	var classes, tenants []map[string]any
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "aim_ms": ms(c.LatencyObjective), "hard_limit_ms": ms(c.Deadline), "late_share": c.LateShare, "worth": c.PriorityWeight,
			"semantics": semantics[c.Idempotency], "dedup_scope": c.DedupScope, "window_ms": ms(c.DedupWindow), "stream": false,
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
			"max_retry_after_ms": ms(s.Rules.RetryAfter), "dial_timeout_ms": ms(s.Network.ConnectTimeout), "conn_idle_ms": ms(s.Network.IdleTimeout),
		},
		"charges": map[string]any{"cross_zone": s.Prices.CrossZone, "probe": s.Prices.Probe, "waste": s.Prices.Waste, "handshake": s.Prices.Handshake, "late_fail": s.Prices.LateFail},
		"rules": map[string]any{
			"answer_slack_ms": ms(s.Rules.AnswerSlack), "ask_within_ms": ms(s.Rules.PollDeadline), "stop_sending_within_ms": ms(s.Rules.DrainGrace),
			"fall_multiple": s.Rules.OverloadFactor, "overload_for_ms": ms(s.Rules.OverloadWindow), "cold_from": p.SlowStartFloor, "cold_ms": ms(Duration(p.SlowStartWindow)),
		},
	}
}
