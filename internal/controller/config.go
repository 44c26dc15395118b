package controller

import (
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

// Config is what a keeper is told. docs/LEASES.md describes it.
type Config struct {
	Name     string           `toml:"name"`
	Registry []string         `toml:"registry"`
	Listen   string           `toml:"listen"` // for /metrics and /health/ready; empty: neither
	LeaseMS  int64            `toml:"lease_ms"`
	MaxActMS int64            `toml:"-"` // of tasks that are none of Tasks; 0: what those take
	Routes   addressmap.Table `toml:"routes"`

	Drains *struct {
		Config string `toml:"config"` // barleyctl's file
	} `toml:"drains"`
	Health    *HealthConfig    `toml:"health"`
	ListCache *ListCacheConfig `toml:"copies"`
	Policy    *PolicyConfig    `toml:"policy"`

	Overload *OverloadConfig `toml:"overload"`

	Membership *membership.Config `toml:"membership"`

	drains *drain.Config
}

// PolicyConfig has a keeper lead changes of the fleet's policy.
type PolicyConfig struct {
	Machine string `toml:"machine"` // whose sidecars' processes it watches; empty: none
}

// OverloadConfig has a keeper give the fleet's word on an overload.
type OverloadConfig struct {
	Fleet  string `toml:"fleet"`  // as the sidecars have it
	Listen string `toml:"listen"` // for their digests, while it holds the task
}

// HealthConfig is what the checker of booking servers is told.
type HealthConfig struct {
	IntervalMS int64 `toml:"every_ms"`
	TimeoutMS  int64 `toml:"timeout_ms"`
	Failures   int   `toml:"failures"` // in a row, before the advice says so
}

// ListCacheConfig is what the keeper of copies is told.
type ListCacheConfig struct {
	Dir        string `toml:"folder"` // one that all keepers share
	IntervalMS int64  `toml:"every_ms"`
	Keep       int    `toml:"keep"`
}

const (
	defaultLease         = 5 * time.Second
	minLease             = time.Second // several elections of the registry's are over by a part of it
	maxLease             = 10 * time.Minute
	defaultProbeInterval = 5 * time.Second // one probe costs a server up to 0.2 ms of work: a part in 25,000
	minProbeInterval     = 100 * time.Millisecond
	defaultProbeTimeout  = time.Second
	defaultFailures      = 3
	defaultCacheInterval = 5 * time.Minute
	minCacheInterval     = time.Second
	defaultKeep          = 24
	maxKeep              = 10000
)

// LoadConfig reads a keeper's configuration file.
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

// ParseConfig reads a configuration and fills in what it leaves out. An unknown field
// is an error.
func ParseConfig(text []byte) (*Config, error) {
	c := &Config{LeaseMS: defaultLease.Milliseconds()}
	if err := configfile.TOML(text, c); err != nil {
		return nil, err
	}
	if h := c.Health; h != nil {
		setDefault(&h.IntervalMS, defaultProbeInterval.Milliseconds())
		setDefault(&h.TimeoutMS, min(defaultProbeTimeout.Milliseconds(), h.IntervalMS))
		if h.Failures == 0 {
			h.Failures = defaultFailures
		}
	}
	if k := c.ListCache; k != nil {
		setDefault(&k.IntervalMS, defaultCacheInterval.Milliseconds())
		if k.Keep == 0 {
			k.Keep = defaultKeep
		}
	}
	if err := c.check(); err != nil {
		return nil, configfile.AtLine(text, err)
	}
	return c, nil
}

func setDefault(v *int64, otherwise int64) {
	if *v == 0 {
		*v = otherwise
	}
}

func (c *Config) check() error {
	if err := registry.CheckName("name", c.Name); err != nil {
		return err
	}
	if len(c.Registry) == 0 {
		return fmt.Errorf("registry is missing: the addresses of its replicas")
	}
	loopback := func(name, addr string) error {
		if host, _, err := net.SplitHostPort(addr); err != nil || !net.ParseIP(host).IsLoopback() {
			return fmt.Errorf("%s is %q, it must be a loopback address with a port", name, addr)
		}
		return nil
	}
	if c.Listen != "" {
		if err := loopback("listen", c.Listen); err != nil {
			return err
		}
	}
	if err := c.Routes.Check(); err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	within := func(name string, v, least, most int64) error {
		if v < least || v > most {
			return fmt.Errorf("%s is %d, it must lie between %d and %d", name, v, least, most)
		}
		return nil
	}
	errs := []error{within("lease_ms", c.LeaseMS, minLease.Milliseconds(), maxLease.Milliseconds())}
	if c.Drains != nil && c.Drains.Config == "" {
		errs = append(errs, fmt.Errorf("drains.config is missing: barleyctl's configuration file"))
	}
	if o := c.Overload; o != nil {
		errs = append(errs, registry.CheckName("overload.fleet", o.Fleet), loopback("overload.listen", o.Listen))
	}
	if c.Membership != nil {
		errs = append(errs, c.Membership.Check())
	}
	if h := c.Health; h != nil {
		errs = append(errs,
			within("health.every_ms", h.IntervalMS, minProbeInterval.Milliseconds(), time.Hour.Milliseconds()),
			within("health.timeout_ms", h.TimeoutMS, 1, min(h.IntervalMS, c.LeaseMS/2)),
			within("health.failures", int64(h.Failures), 1, 1000))
	}
	if k := c.ListCache; k != nil {
		if k.Dir == "" {
			errs = append(errs, fmt.Errorf("copies.folder is missing: one that all keepers share"))
		}
		errs = append(errs,
			within("copies.every_ms", k.IntervalMS, minCacheInterval.Milliseconds(), (7*24*time.Hour).Milliseconds()),
			within("copies.keep", int64(k.Keep), 1, maxKeep))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) leaseTTL() time.Duration { return time.Duration(c.LeaseMS) * time.Millisecond }
