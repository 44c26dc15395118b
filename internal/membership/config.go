package membership

import (
	"fmt"
	"net/netip"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/registry"
)

// Config is the table 'membership' of a program's configuration file. docs/MEMBERSHIP.md
// describes its fields.
type Config struct {
	Fleet    string   `toml:"fleet" json:"fleet" default:"-" doc:"the fleet's name; members of another fleet are ignored"`
	Listen   string   `toml:"listen" json:"listen" unit:"address:port" default:"-" doc:"a loopback address with a port, for UDP and TCP"`
	Seeds    []string `toml:"seeds" json:"seeds,omitempty" unit:"address:port" default:"none" doc:"addresses where other members listen; one that answers is enough, and the registry names more"`
	StateDir string   `toml:"folder" json:"folder,omitempty" unit:"path" default:"none" doc:"where the addresses of the members are cached for the next start"`
	Zone     string   `toml:"zone" json:"zone,omitempty" default:"none" doc:"this process's zone, for display"`

	MachineName string `toml:"machine" json:"machine,omitempty" default:"none" doc:"this machine's name, as the registry has it: a drain of the machine waits for its members, where fleetctl's file says so"`

	ProbeMS int64 `toml:"probe_ms" json:"probe_ms,omitempty" unit:"ms" default:"500" doc:"interval between probes of another member, 50 to 60000; half of it is for an answer"`
	ForgetS int64 `toml:"forget_s" json:"forget_s,omitempty" unit:"s" default:"600" doc:"after which an unreachable member counts as never to come back, 10 to 604800"`

	Routes addressmap.Map `toml:"routes" json:"routes,omitempty" unit:"table" default:"none" doc:"addresses to call instead of others"`
}

const (
	// defaultProbeInterval detects a failure within about three seconds, for two packets per second.
	defaultProbeInterval = 500 * time.Millisecond
	minProbeInterval     = 50 * time.Millisecond
	maxProbeInterval     = time.Minute

	// defaultForgetAfter is longer than a machine takes to reboot.
	defaultForgetAfter = 10 * time.Minute
	minForgetAfter     = 10 * time.Second
	maxForgetAfter     = 7 * 24 * time.Hour

	// MaxSeeds bounds the seed addresses that a member tries.
	MaxSeeds = 64
)

// Check validates the configuration and sets the defaults of fields that are left out.
func (c *Config) Check() error {
	for _, check := range []func() error{c.checkFleet, c.checkAddresses, c.checkNames, c.checkDurations} {
		if err := check(); err != nil {
			return err
		}
	}
	if err := c.Routes.Check(); err != nil {
		return fmt.Errorf("membership.routes: %w", err)
	}
	return nil
}

func (c *Config) checkFleet() error {
	if c.Fleet == "" {
		return fmt.Errorf("membership.fleet is missing: want the fleet's name, the same in all configuration files")
	}
	return registry.CheckName("membership.fleet", c.Fleet)
}

func (c *Config) checkAddresses() error {
	if !isLoopbackAddress(c.Listen) {
		return fmt.Errorf("membership.listen is %.64q, it must be a loopback address with a port", c.Listen)
	}
	if len(c.Seeds) > MaxSeeds {
		return fmt.Errorf("membership.seeds: got %d addresses, want %d at most", len(c.Seeds), MaxSeeds)
	}
	for i, seed := range c.Seeds {
		if !isLoopbackAddress(seed) {
			return fmt.Errorf("membership.seeds[%d] is %.64q, it must be a loopback address with a port", i, seed)
		}
	}
	return nil
}

func (c *Config) checkNames() error {
	for _, field := range []struct{ name, value string }{{"zone", c.Zone}, {"machine", c.MachineName}} {
		if len(field.value) > maxNameBytes {
			return fmt.Errorf("membership.%s has %d bytes, want %d at most", field.name, len(field.value), maxNameBytes)
		}
	}
	return nil
}

func (c *Config) checkDurations() error {
	for _, field := range []struct {
		name                          string
		value                         *int64
		lowest, highest, defaultValue int64
	}{
		{"probe_ms", &c.ProbeMS, minProbeInterval.Milliseconds(), maxProbeInterval.Milliseconds(), defaultProbeInterval.Milliseconds()},
		{"forget_s", &c.ForgetS, int64(minForgetAfter.Seconds()), int64(maxForgetAfter.Seconds()), int64(defaultForgetAfter.Seconds())},
	} {
		if *field.value == 0 {
			*field.value = field.defaultValue
		}
		if *field.value < field.lowest || *field.value > field.highest {
			return fmt.Errorf("membership.%s is %d, it must lie between %d and %d", field.name, *field.value, field.lowest, field.highest)
		}
	}
	return nil
}

// isLoopbackAddress reports whether text is a loopback IP address with a port.
func isLoopbackAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Addr().Unmap().IsLoopback()
}

// ProbeInterval returns the time between two probes of another member.
func (c *Config) ProbeInterval() time.Duration { return time.Duration(c.ProbeMS) * time.Millisecond }

// ForgetAfter returns the time after which an unreachable member is dropped from the view.
func (c *Config) ForgetAfter() time.Duration { return time.Duration(c.ForgetS) * time.Second }
