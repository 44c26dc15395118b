package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"slices"

	"barleywick/internal/configfile"
)

// isTOML reports whether a file is in TOML, the format for files written by hand, and not the platform's JSON.
func isTOML(path string) bool { return filepath.Ext(path) == ".toml" }

// toPlatformJSON converts a TOML file to the platform's JSON. newSeed provides the seed if the file has
// none.
func toPlatformJSON(text []byte, newSeed func() string) ([]byte, error) {
	f := file{Settings: settingsTable{Balancers: 1, Capabilities: capabilitiesTable{MaxAttempts: 1}}}
	if err := configfile.DecodeTOML(text, &f); err != nil {
		return nil, err
	}
	if f.Seed == "" {
		f.Seed = newSeed()
	}
	if err := f.check(); err != nil {
		return nil, configfile.WithLine(text, err)
	}
	return json.Marshal(f)
}

// check returns an error that begins with the path of the first invalid field, as configfile.WithLine expects.
func (f *file) check() error {
	if f.Name == "" {
		return errors.New("name is missing")
	}
	for _, check := range []func() error{
		f.Settings.checkClasses, f.Settings.checkTenants, f.Settings.check, f.checkNotNegative,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *settingsTable) checkClasses() error {
	if len(s.Classes) == 0 {
		return errors.New("settings.classes is missing: at least one class is needed")
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(fmt.Sprintf("settings.classes[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

// check negates its comparisons so that NaN is rejected too.
func (c *classTable) check(prefix string) error {
	switch {
	case c.Name == "":
		return errors.New(prefix + "name is missing")
	case !(c.LatencyObjectiveMS > 0):
		return fmt.Errorf("%saim_ms is %g, it must be above 0", prefix, c.LatencyObjectiveMS)
	case !(c.DeadlineMS >= c.LatencyObjectiveMS):
		return fmt.Errorf("%shard_limit_ms is %g, under the %g of aim_ms", prefix, c.DeadlineMS, c.LatencyObjectiveMS)
	case !isFraction(c.LateShare):
		return fmt.Errorf("%slate_share is %g, want a fraction from 0 to 1", prefix, c.LateShare)
	case !slices.Contains([]string{"free", "guarded", "single_shot", ""}, c.Semantics):
		return fmt.Errorf("%ssemantics is %q, want free, guarded or single_shot", prefix, c.Semantics)
	case !slices.Contains([]string{"all", "zone", "cell", ""}, c.DedupScope):
		return fmt.Errorf("%sdedup_scope is %q, want all, zone or cell", prefix, c.DedupScope)
	case c.Semantics == "guarded" && !(c.DedupWindowMS > 0):
		return fmt.Errorf("%swindow_ms is %g, a guarded class needs one above 0", prefix, c.DedupWindowMS)
	case c.Semantics != "guarded" && (c.DedupScope != "" || c.DedupWindowMS != 0):
		return fmt.Errorf("%ssemantics is %q, but dedup_scope and window_ms apply only to guarded", prefix, c.Semantics)
	}
	return nil
}

func (s *settingsTable) checkTenants() error {
	for i, t := range s.Tenants {
		if t.Name == "" || !(t.Share > 0) || !(t.Quota >= 0) {
			return fmt.Errorf("settings.orgs[%d].name, share and quota_per_s: a name, a share above 0 and a quota of 0 or more are needed", i)
		}
	}
	return nil
}

func (s *settingsTable) check() error {
	switch {
	case s.Balancers < 1:
		return fmt.Errorf("settings.balancers is %d, at least 1 is needed", s.Balancers)
	case s.Zone < 0 || s.Zone >= max(1, len(s.Zones)):
		return fmt.Errorf("settings.zone is %d, want an index into zones, whose length is %d", s.Zone, len(s.Zones))
	case !slices.Contains([]string{"push", "ask", ""}, s.Discovery):
		return fmt.Errorf("settings.discovery is %q, want push or ask", s.Discovery)
	case s.Capabilities.MaxAttempts < 1:
		return fmt.Errorf("settings.caps.most_tries is %d, at least 1 is needed", s.Capabilities.MaxAttempts)
	case !isFraction(s.Rules.SlowStartFloor):
		return fmt.Errorf("settings.rules.cold_from is %g, want a fraction from 0 to 1", s.Rules.SlowStartFloor)
	case !slices.Contains([]string{"silent", "pull", "piggyback", ""}, s.Telemetry.How):
		return fmt.Errorf("settings.telemetry.how is %q, want silent, pull or piggyback", s.Telemetry.How)
	}
	return nil
}

func (f *file) checkNotNegative() error {
	s := &f.Settings
	for _, v := range []struct {
		name  string
		value float64
	}{
		{"settings.caps.max_retry_after_ms", s.Capabilities.MaxRetryAfterMS},
		{"settings.caps.dial_timeout_ms", s.Capabilities.DialTimeoutMS},
		{"settings.caps.conn_idle_ms", s.Capabilities.UpstreamIdleMS},
		{"settings.rules.ask_within_ms", s.Rules.PollDeadlineMS},
		{"settings.rules.stop_sending_within_ms", s.Rules.DrainGraceMS},
		{"settings.rules.cold_ms", s.Rules.SlowStartMS},
		{"settings.rules.fall_multiple", s.Rules.OverloadFactor},
		{"settings.charges.cross_zone", s.Charges.CrossZone},
		{"limits.cores", f.Limits.Cores},
		{"limits.memory_mb", float64(f.Limits.MemoryMB)},
	} {
		if !(v.value >= 0) {
			return fmt.Errorf("%s is %g, it must not be negative", v.name, v.value)
		}
	}
	return nil
}

func isFraction(f float64) bool { return f >= 0 && f <= 1 }
