package policy

import (
	"errors"
	"fmt"
	"math"
)

// validate returns an error that names the first unusable field of a configuration.
func validate(cfg Config) error {
	switch {
	case cfg.Balancers < 1:
		return fmt.Errorf("config: Balancers is %d, at least 1 is needed", cfg.Balancers)
	case len(cfg.Classes) == 0:
		return errors.New("config: Classes is empty")
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("config: MaxAttempts is %d, at least 1 is needed", cfg.MaxAttempts)
	case cfg.Slots < 0:
		return fmt.Errorf("config: Slots is %d, it must not be negative", cfg.Slots)
	case unusable(cfg.SlowStartFloor) || cfg.SlowStartFloor > 1:
		return fmt.Errorf("config: SlowStartFloor is %v, a share is needed", cfg.SlowStartFloor)
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
			return fmt.Errorf("config: %s is %v, it must be a number and not negative", f.name, f.value)
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
		return fmt.Errorf("LatencyObjective %v, Deadline %v or DedupWindow %v is unusable",
			c.LatencyObjective, c.Deadline, c.DedupWindow)
	}
	if unusable(c.ObjectiveWorkFactor) || unusable(c.LateShare) || unusable(c.PriorityWeight) {
		return errors.New("ObjectiveWorkFactor, LateShare or PriorityWeight is negative or no number")
	}
	return nil
}

func validateTenants(tenants []Tenant) error {
	sum := 0.0
	for i, t := range tenants {
		if unusable(t.Share) || unusable(t.Quota) {
			return fmt.Errorf("config: Tenants[%d]: Share %v or Quota %v is negative or no number",
				i, t.Share, t.Quota)
		}
		sum += t.Share
	}
	if len(tenants) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return fmt.Errorf("config: Tenants: the Share of all adds up to %v", sum)
	}
	return nil
}

// unusable says whether a value is negative, infinite or no number.
func unusable(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }
