package policy

import (
	"math"
	"strings"
	"testing"
)

func TestNewNamesTheUnusableField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Balancers":        func(c *Config) { c.Balancers = 0 },
		"Classes":          func(c *Config) { c.Classes = nil },
		"MaxAttempts":      func(c *Config) { c.MaxAttempts = 0 },
		"Slots":            func(c *Config) { c.Slots = -1 },
		"SlowStartFloor":   func(c *Config) { c.SlowStartFloor = 1.5 },
		"OverloadFactor":   func(c *Config) { c.OverloadFactor = math.Inf(1) },
		"SlowStartWindow":  func(c *Config) { c.SlowStartWindow = -1 },
		"CrossZoneCost":    func(c *Config) { c.CrossZoneCost = -1 },
		"PollDeadline":     func(c *Config) { c.PollDeadline = -1 },
		"DrainGrace":       func(c *Config) { c.DrainGrace = -1 },
		"EventPeriod":      func(c *Config) { c.EventPeriod = -1 },
		"LatencyObjective": func(c *Config) { c.Classes[2].LatencyObjective = 0 },
		"Deadline":         func(c *Config) { c.Classes[0].Deadline = -1 },
		"LateShare":        func(c *Config) { c.Classes[0].LateShare = math.NaN() },
		"Share":            func(c *Config) { c.Tenants[1].Share = -0.1 },
		"Quota":            func(c *Config) { c.Tenants[1].Quota = math.NaN() },
		"adds up to 0":     func(c *Config) { c.Tenants = []Tenant{{Quota: 5}} },
		"MaxRetryAfter":    func(c *Config) { c.MaxRetryAfter = -1 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, 1, newFakeHost()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got error %v, want one that contains it", field, err)
		}
	}
}
