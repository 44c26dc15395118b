package policy

import (
	"errors"
	"fmt"
	"math"
)

// validate returns an error that names the first invalid field of a configuration.
func validate(cfg Config) error {
	switch {
	case cfg.Balancers < 1:
		return fmt.Errorf("config: Balancers: got %d, want at least 1", cfg.Balancers)
	case len(cfg.Classes) == 0:
		return errors.New("config: Classes: got none, want at least 1")
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("config: MaxAttempts: got %d, want at least 1", cfg.MaxAttempts)
	case cfg.Slots < 0:
		return fmt.Errorf("config: Slots: got %d, want 0 or more", cfg.Slots)
	case unusable(cfg.SlowStartFloor) || cfg.SlowStartFloor > 1:
		return fmt.Errorf("config: SlowStartFloor: got %v, want a share from 0 to 1", cfg.SlowStartFloor)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"OverloadFactor", cfg.OverloadFactor},
		{"CrossZoneCost", cfg.CrossZoneCost},
		{"MaxRetryAfter", cfg.MaxRetryAfter.Seconds()},
		{"EventPeriod", cfg.EventPeriod.Seconds()},
		{"PollDeadline", cfg.PollDeadline.Seconds()},
		{"SlowStartWindow", cfg.SlowStartWindow.Seconds()},
		{"DrainGrace", cfg.DrainGrace.Seconds()},
	} {
		if unusable(f.value) {
			return fmt.Errorf("config: %s: got %v, want a finite number of at least 0", f.name, f.value)
		}
	}
	for i, c := range cfg.Classes {
		if err := c.validate(); err != nil {
			return fmt.Errorf("config: Classes[%d]: %w", i, err)
		}
	}
	return validateTenants(cfg.Tenants)
}

func (c Class) validate() error {
	if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
		return fmt.Errorf("LatencyObjective %v and Deadline %v must be positive, DedupWindow %v must not be negative",
			c.LatencyObjective, c.Deadline, c.DedupWindow)
	}
	if unusable(c.ObjectiveWorkFactor) || unusable(c.LateShare) || unusable(c.PriorityWeight) {
		return errors.New("ObjectiveWorkFactor, LateShare or PriorityWeight is not a finite number of at least 0")
	}
	return nil
}

func validateTenants(tenants []Tenant) error {
	sum := 0.0
	for i, t := range tenants {
		if unusable(t.Share) || unusable(t.Quota) {
			return fmt.Errorf("config: Tenants[%d]: got Share %v and Quota %v, want finite numbers of at least 0",
				i, t.Share, t.Quota)
		}
		sum += t.Share
	}
	if len(tenants) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return fmt.Errorf("config: Tenants: the Share of all tenants adds up to %v, want a positive finite sum", sum)
	}
	return nil
}

// unusable reports whether a value is negative, infinite or NaN.
func unusable(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }
