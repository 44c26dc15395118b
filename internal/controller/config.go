package controller

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/configfile"
	"barleywick/internal/drain"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
)

// Config is a controller's configuration file, in TOML. docs/LEASES.md describes it.
type Config struct {
	Name     string         `toml:"name"`
	Registry []string       `toml:"registry"` // addresses of the replicas
	Listen   string         `toml:"listen"`   // address for /metrics and /health/ready; empty: neither is served
	LeaseMS  int64          `toml:"lease_ms"`
	MaxActMS int64          `toml:"-"` // bound on the timed acts of tasks that Tasks doesn't return; 0: there are none
	Routes   addressmap.Map `toml:"routes"`

	// A task runs in this process only if the file has its table.
	Drains   *DrainsConfig   `toml:"drains"`
	Health   *HealthConfig   `toml:"health"`
	Backup   *BackupConfig   `toml:"copies"`
	Policy   *PolicyConfig   `toml:"policy"`
	Overload *OverloadConfig `toml:"overload"`

	Membership *membership.Config `toml:"membership"`

	drains *drain.Config // read from the file Drains.Config
}

// DrainsConfig configures the task that runs drains.
type DrainsConfig struct {
	Config string `toml:"config"` // path of fleetctl's configuration file
}

// PolicyConfig configures the task that leads rollouts of the fleet policy.
type PolicyConfig struct {
	Machine string `toml:"machine"` // machine whose sidecar processes this controller watches; empty: none
}

// OverloadConfig configures the task that computes overload advice.
type OverloadConfig struct {
	Fleet  string `toml:"fleet"`  // the same name as in the sidecars' configuration
	Listen string `toml:"listen"` // address for the sidecars' digests; open only while the lease is held
}

// HealthConfig configures the tasks that probe booking servers.
type HealthConfig struct {
	IntervalMS int64 `toml:"every_ms"`
	TimeoutMS  int64 `toml:"timeout_ms"`
	Failures   int   `toml:"failures"` // number of consecutive failed probes from which on the advice lists a server
}

// BackupConfig configures the task that saves backups of the registry.
type BackupConfig struct {
	Dir        string `toml:"folder"` // directory that all controllers share
	IntervalMS int64  `toml:"every_ms"`
	Keep       int    `toml:"keep"` // number of backups to keep
}

const (
	defaultLeaseTTL = 5 * time.Second
	minLeaseTTL     = time.Second // long enough for several leader elections of the registry
	maxLeaseTTL     = 10 * time.Minute

	defaultProbeInterval = 5 * time.Second // a probe costs a server up to 0.2 ms of work
	minProbeInterval     = 100 * time.Millisecond
	maxProbeInterval     = time.Hour
	defaultProbeTimeout  = time.Second
	defaultFailures      = 3
	maxFailures          = 1000

	defaultBackupInterval = 5 * time.Minute
	minBackupInterval     = time.Second
	maxBackupInterval     = 7 * 24 * time.Hour
	defaultBackupCount    = 24
	maxBackupCount        = 10000

	// minLongestActTime covers the response to a digest.
	minLongestActTime = 100 * time.Millisecond
)

// LoadConfig reads a controller's configuration file, and the one of fleetctl that it refers to.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.Drains != nil {
		if c.drains, err = drain.LoadConfig(c.Drains.Config); err != nil {
			return nil, fmt.Errorf("configuration %s: drains.config: %w", path, err)
		}
	}
	return c, nil
}

// ParseConfig decodes a configuration, sets the defaults of fields that are left out, and validates
// it. An unknown field is an error.
func ParseConfig(text []byte) (*Config, error) {
	c := &Config{LeaseMS: defaultLeaseTTL.Milliseconds()}
	if err := configfile.DecodeTOML(text, c); err != nil {
		return nil, err
	}
	c.setDefaults()
	if err := c.check(); err != nil {
		return nil, configfile.WithLine(text, err)
	}
	return c, nil
}

func (c *Config) setDefaults() {
	if h := c.Health; h != nil {
		h.IntervalMS = cmp.Or(h.IntervalMS, defaultProbeInterval.Milliseconds())
		h.TimeoutMS = cmp.Or(h.TimeoutMS, min(defaultProbeTimeout.Milliseconds(), h.IntervalMS))
		h.Failures = cmp.Or(h.Failures, defaultFailures)
	}
	if b := c.Backup; b != nil {
		b.IntervalMS = cmp.Or(b.IntervalMS, defaultBackupInterval.Milliseconds())
		b.Keep = cmp.Or(b.Keep, defaultBackupCount)
	}
}

// check returns an error that begins with the path of the first invalid field.
func (c *Config) check() error {
	return firstError(
		registry.CheckName("name", c.Name),
		c.checkAddresses(),
		checkDuration("lease_ms", c.LeaseMS, minLeaseTTL, maxLeaseTTL),
		c.Drains.check(),
		c.Overload.check(),
		c.checkMembership(),
		c.Health.check(c.leaseTTL()),
		c.Backup.check(),
	)
}

func (c *Config) checkAddresses() error {
	if len(c.Registry) == 0 {
		return errors.New("registry is missing: want the addresses of its replicas")
	}
	if c.Listen != "" {
		if err := checkLoopback("listen", c.Listen); err != nil {
			return err
		}
	}
	if err := c.Routes.Check(); err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	return nil
}

func (c *Config) checkMembership() error {
	if c.Membership == nil {
		return nil
	}
	return c.Membership.Check()
}

func (d *DrainsConfig) check() error {
	if d != nil && d.Config == "" {
		return errors.New("drains.config is missing: want the path of fleetctl's configuration file")
	}
	return nil
}

func (o *OverloadConfig) check() error {
	if o == nil {
		return nil
	}
	return firstError(
		registry.CheckName("overload.fleet", o.Fleet),
		checkLoopback("overload.listen", o.Listen),
	)
}

func (h *HealthConfig) check(leaseTTL time.Duration) error {
	if h == nil {
		return nil
	}
	maxTimeout := min(time.Duration(h.IntervalMS)*time.Millisecond, leaseTTL/2)
	return firstError(
		checkDuration("health.every_ms", h.IntervalMS, minProbeInterval, maxProbeInterval),
		checkDuration("health.timeout_ms", h.TimeoutMS, time.Millisecond, maxTimeout),
		checkRange("health.failures", int64(h.Failures), 1, maxFailures),
	)
}

func (b *BackupConfig) check() error {
	if b == nil {
		return nil
	}
	if b.Dir == "" {
		return errors.New("copies.folder is missing: want a directory that all controllers share")
	}
	return firstError(
		checkDuration("copies.every_ms", b.IntervalMS, minBackupInterval, maxBackupInterval),
		checkRange("copies.keep", int64(b.Keep), 1, maxBackupCount),
	)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkLoopback(field, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return fmt.Errorf("%s is %q, it must be a loopback address with a port", field, address)
	}
	return nil
}

// checkDuration checks that a number of milliseconds lies within bounds.
func checkDuration(field string, ms int64, lowest, highest time.Duration) error {
	return checkRange(field, ms, lowest.Milliseconds(), highest.Milliseconds())
}

func checkRange(field string, value, lowest, highest int64) error {
	if value < lowest || value > highest {
		return fmt.Errorf("%s is %d, it must lie between %d and %d", field, value, lowest, highest)
	}
	return nil
}

func (c *Config) leaseTTL() time.Duration { return time.Duration(c.LeaseMS) * time.Millisecond }

// longestAct returns an upper bound on the duration of this controller's timed acts.
func (c *Config) longestAct() time.Duration {
	if c.MaxActMS > 0 {
		return time.Duration(c.MaxActMS) * time.Millisecond
	}
	longest := minLongestActTime
	if c.Health != nil {
		longest = max(longest, time.Duration(c.Health.TimeoutMS)*time.Millisecond)
	}
	if c.Drains != nil {
		longest = max(longest, c.leaseTTL()/stopTimeoutDivisor)
	}
	return longest
}
