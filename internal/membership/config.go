package membership

import (
	"fmt"
	"net/netip"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/registry"
)

// Config is what a process is told of the membership; a table 'membership' in each
// program's own file. docs/MEMBERSHIP.md describes it.
type Config struct {
	Fleet    string   `toml:"fleet" json:"fleet" default:"-" doc:"the fleet's name: who has another is not heard"`
	Listen   string   `toml:"listen" json:"listen" unit:"address:port" default:"-" doc:"a loopback address with a port, for UDP and TCP"`
	Seeds    []string `toml:"seeds" json:"seeds,omitempty" unit:"address:port" default:"none" doc:"addresses where other members listen; one that answers is enough, and the registry names more"`
	StateDir string   `toml:"folder" json:"folder,omitempty" unit:"path" default:"none" doc:"where the addresses of the members are kept for the next start"`
	Zone     string   `toml:"zone" json:"zone,omitempty" default:"none" doc:"this process's zone, to be shown"`

	MachineName string `toml:"machine" json:"machine,omitempty" default:"none" doc:"this machine's name, as the registry has it: a drain of the machine waits for its members, where barleyctl's file says so"`

	ProbeMS int64 `toml:"probe_ms" json:"probe_ms,omitempty" unit:"ms" default:"500" doc:"between two looks at some other member, 50 to 60000; half of it is for an answer"`
	ForgetS int64 `toml:"forget_s" json:"forget_s,omitempty" unit:"s" default:"600" doc:"after which one that fell silent counts as never to come back, 10 to 604800"`

	Routes addressmap.Table `toml:"routes" json:"routes,omitempty" unit:"table" default:"none" doc:"addresses to call instead of others"`
}

const (
	defaultProbeInterval = 500 * time.Millisecond // a death is sure to be seen in some three seconds, for two packets a second
	minProbeInterval     = 50 * time.Millisecond
	defaultForgetAfter   = 10 * time.Minute // longer than a machine takes to start again
	minForgetAfter       = 10 * time.Second
	// MaxSeeds bounds the addresses that are tried.
	MaxSeeds = 64
)

// Check says in one line what is wrong, and fills in what is left out.
func (c *Config) Check() error {
	if c.Fleet == "" {
		return fmt.Errorf("membership.fleet is missing: the fleet's name, alike in all files")
	}
	if err := registry.CheckName("membership.fleet", c.Fleet); err != nil {
		return err
	}
	if a, err := netip.ParseAddrPort(c.Listen); err != nil || !a.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("membership.listen is %.64q, it must be a loopback address with a port", c.Listen)
	}
	if len(c.Seeds) > MaxSeeds {
		return fmt.Errorf("membership.seeds: %d are named, %d at most", len(c.Seeds), MaxSeeds)
	}
	for i, seed := range c.Seeds {
		if a, err := netip.ParseAddrPort(seed); err != nil || !a.Addr().Unmap().IsLoopback() {
			return fmt.Errorf("membership.seeds[%d] is %.64q, it must be a loopback address with a port", i, seed)
		}
	}
	for name, text := range map[string]string{"zone": c.Zone, "machine": c.MachineName} {
		if len(text) > maxZoneBytes {
			return fmt.Errorf("membership.%s has %d bytes, %d at most", name, len(text), maxZoneBytes)
		}
	}
	for _, f := range []struct {
		name               string
		value              *int64
		least, most, other int64
	}{
		{"probe_ms", &c.ProbeMS, minProbeInterval.Milliseconds(), time.Minute.Milliseconds(), defaultProbeInterval.Milliseconds()},
		{"forget_s", &c.ForgetS, int64(minForgetAfter.Seconds()), int64((7 * 24 * time.Hour).Seconds()), int64(defaultForgetAfter.Seconds())},
	} {
		if *f.value == 0 {
			*f.value = f.other
		}
		if *f.value < f.least || *f.value > f.most {
			return fmt.Errorf("membership.%s is %d, it must lie between %d and %d", f.name, *f.value, f.least, f.most)
		}
	}
	if err := c.Routes.Check(); err != nil {
		return fmt.Errorf("membership.routes: %w", err)
	}
	return nil
}

// ProbeInterval is between two looks at some other member.
func (c *Config) ProbeInterval() time.Duration { return time.Duration(c.ProbeMS) * time.Millisecond }

// ForgetAfter is after which a lost member counts as never to come back.
func (c *Config) ForgetAfter() time.Duration { return time.Duration(c.ForgetS) * time.Second }
