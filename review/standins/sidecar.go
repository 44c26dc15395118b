//go:build review

package main

import "time"

// sidecarProcess is a sidecar of the project, started with the command of the deploy file.
type sidecarProcess struct {
	h      *harness
	name   string
	addr   string
	config string
	*process
}

// sidecarSettings are settings after those of prenota-nord, with two of its tenants and without probes.
func sidecarSettings(sidecars, quota int) map[string]any {
	return map[string]any{
		"balancers": sidecars, "zone": 0, "zones": []string{"milano-a", "torino-b"}, "discovery": "ask",
		"classes": []any{
			map[string]any{"name": holdSlot, "semantics": "guarded", "dedup_scope": "zone", "window_ms": 4000, "aim_ms": 1500, "hard_limit_ms": 6000, "worth": 5, "late_share": 0.5},
			map[string]any{"name": confirmVisit, "semantics": "single_shot", "aim_ms": 1200, "hard_limit_ms": 3000, "worth": 3, "late_share": 0.25},
		},
		"orgs": []any{
			map[string]any{"name": "lombarda-fibra", "share": 0.2, "quota_per_s": quota},
			map[string]any{"name": "piemonte-posa", "share": 0.18, "quota_per_s": quota},
		},
		"caps":      map[string]any{"most_tries": 4, "may_cancel": true, "probes": false, "max_retry_after_ms": 2000, "dial_timeout_ms": 250, "conn_idle_ms": 60000},
		"rules":     map[string]any{"stop_sending_within_ms": 3000, "ask_within_ms": 10000, "cold_from": 0.34, "cold_ms": 8800, "fall_multiple": 3},
		"telemetry": map[string]any{"how": "silent"},
	}
}

// startSidecar starts a sidecar; further keys are added to its configuration.
func (h *harness) startSidecar(name, discovery string, settings map[string]any, extra map[string]any) *sidecarProcess {
	s := &sidecarProcess{h: h, name: name, addr: h.freeAddr()}
	config := map[string]any{
		"name": name, "listen": s.addr, "discovery": discovery, "seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
		"settings": settings,
	}
	for key, value := range extra {
		config[key] = value
	}
	s.config = h.file(name+".json", config)
	s.again()
	return s
}

// again starts the sidecar's process, with the same configuration.
func (s *sidecarProcess) again() {
	s.process = s.h.start(s.name, s.h.deployCommand("run"), "ROUTER_CONFIG="+s.config)
}

func (s *sidecarProcess) awaitReady(d time.Duration) {
	s.h.eventually(s.name+" is ready", d, func() bool { return ready(s.addr) })
}
