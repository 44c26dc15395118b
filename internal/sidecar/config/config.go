// Package config reads and checks the configuration of a sidecar, which is a TOML file written by a person
// or a JSON file written by the platform. It also derives the limits on connections, and explains each
// value.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"barleywick/internal/configfile"
	"barleywick/internal/membership"
	"barleywick/internal/registry/client"
	"barleywick/internal/settings"
	"barleywick/policy"
)

// Config is the configuration of one sidecar.
type Config struct {
	Name              string
	Listen            string // the only address to listen on
	Discovery         string
	DiscoveryReplicas []string // other addresses of the same discovery service
	Seed              uint64
	KnownEndpoints    *client.ListUpdate // the last known endpoint list; nil if there is none
	Limits            Limits
	Path              string // of the file that it was read from

	Policy              policy.Config
	Classes             []string
	Tenants             []string // empty: there is a single tenant, which requests need not name
	Zones               []string
	LoadReportColumns   settings.LoadColumns // the names in a load report
	DialTimeout         time.Duration
	UpstreamIdleTimeout time.Duration      // booking servers close connections that are idle for this long
	Connections         ConnectionLimits   // to clients and to booking servers
	Takeover            *Takeover          // hand-over to a successor process; nil: disabled
	FleetPolicy         *FleetPolicy       // source of the fleet policy; nil: there is none
	Overload            *Overload          // source of overload advice; nil: there is none
	Membership          *membership.Config // in the fleet; nil: it is not a member
	Log                 Log
	Metrics             Metrics
}

const (
	// MinSockets is the minimum number of sockets of a sidecar. With fewer, each side could have only a few
	// connections.
	MinSockets     = 64
	defaultSockets = 1024

	defaultDialTimeout  = 250 * time.Millisecond
	defaultUpstreamIdle = 15 * time.Second

	// maxDiscoveryReplicas is above the size of any replica group.
	maxDiscoveryReplicas = 16
)

// Load reads the configuration file that ROUTER_CONFIG names. ROUTER_NAME, ROUTER_LISTEN and
// ROUTER_DISCOVERY override the file's values.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set: want the path of the configuration file")
	}
	c, err := readConfig(path, nil)
	if err != nil {
		return nil, err
	}
	c.Path = path
	for name, field := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	return c, c.checkDiscovery()
}

// Reload reads the file again, which may block on its disk. The platform's limits remain those read at
// startup. Environment variables do not override the file here, since they still have their values from startup.
func (c *Config) Reload() (*Config, error) {
	fresh, err := readConfig(c.Path, &c.Limits)
	if err != nil {
		return nil, err
	}
	return fresh, fresh.checkDiscovery()
}

// ApplyReloaded copies from a reloaded configuration the values that may change at run time: the discovery
// addresses and the limits on connections.
func (c *Config) ApplyReloaded(fresh *Config) {
	c.Discovery, c.DiscoveryReplicas, c.Connections = fresh.Discovery, fresh.DiscoveryReplicas, fresh.Connections
}

// DiscoveryAddrs returns the distinct addresses of the discovery service.
func (c *Config) DiscoveryAddrs() []string {
	addrs := []string{c.Discovery}
	for _, addr := range c.DiscoveryReplicas {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (c *Config) checkDiscovery() error {
	if len(c.DiscoveryReplicas) > maxDiscoveryReplicas {
		return fmt.Errorf("discovery_replicas: got %d addresses, want at most %d", len(c.DiscoveryReplicas), maxDiscoveryReplicas)
	}
	for _, addr := range c.DiscoveryAddrs() {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("discovery address: %w", err)
		}
	}
	return nil
}

// readConfig reads a configuration file. If fixed is not nil, it replaces the file's limits on the process.
func readConfig(path string, fixed *Limits) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	platform := text
	if isTOML(path) {
		if platform, err = toPlatformJSON(text, randomSeed); err != nil {
			return nil, fmt.Errorf("configuration %s: %w", path, err)
		}
	}
	c, err := Parse(platform, fixed)
	if err != nil {
		if isTOML(path) {
			err = configfile.WithLine(text, err)
		}
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// randomSeed returns a random seed for a sidecar whose configuration has none.
func randomSeed() string { return strconv.FormatUint(rand.Uint64(), 16) }

// platformFile is the platform's JSON file. Unknown keys at the top level are ignored, because the platform
// adds some. Tables whose keys are checked strictly stay raw here.
type platformFile struct {
	Name              string          `json:"name"`
	Listen            string          `json:"listen"`
	Discovery         string          `json:"discovery"`
	DiscoveryReplicas []string        `json:"discovery_replicas"`
	Seed              string          `json:"seed"`
	Limits            Limits          `json:"limits"`
	Known             json.RawMessage `json:"known"`
	Settings          json.RawMessage `json:"settings"`

	Connections json.RawMessage `json:"connections"`
	Takeover    json.RawMessage `json:"takeover"`
	Policy      json.RawMessage `json:"policy"`
	Overload    json.RawMessage `json:"overload"`
	Membership  json.RawMessage `json:"membership"`
	Log         Log             `json:"log"`
	Metrics     Metrics         `json:"metrics"`
}

// Parse reads the platform's JSON. If fixed is not nil, it replaces the limits on the process in the text.
func Parse(text []byte, fixed *Limits) (*Config, error) {
	var f platformFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, DiscoveryReplicas: f.DiscoveryReplicas,
		Limits: f.Limits, Log: f.Log, Metrics: f.Metrics,
	}
	if fixed != nil {
		c.Limits = *fixed
	}
	for _, step := range []func() error{
		func() error { return c.readSettings(f.Settings) },
		func() error { return c.readKnownEndpoints(f.Known) },
		func() error { return c.readSeed(f.Seed) },
		c.checkNames,
		c.Metrics.check,
		c.Limits.check,
		func() error { return c.readTakeover(f.Takeover) },
		func() error { return c.readFleetPolicy(f.Policy) },
		func() error { return c.readOverload(f.Overload) },
		func() error { return c.readMembership(f.Membership) },
		func() error { return c.readConnections(f.Connections) },
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// readSettings reads the settings that are common to a site.
func (c *Config) readSettings(text json.RawMessage) error {
	if text == nil {
		return errors.New("settings are missing")
	}
	s, err := settings.ParseJSON(text)
	if err != nil {
		return err
	}
	if c.Policy, err = s.PolicyConfig(); err != nil {
		return err
	}
	c.Classes = s.Names("classes")
	c.Tenants = s.Names("orgs")
	c.Zones = s.Values("zones")
	c.LoadReportColumns = s.LoadColumns()
	c.DialTimeout = s.Duration("caps.dial_timeout_ms", defaultDialTimeout)
	c.UpstreamIdleTimeout = s.Duration("caps.conn_idle_ms", defaultUpstreamIdle)
	return nil
}

// readKnownEndpoints reads the last known endpoint list. An unreadable list is ignored, because discovery
// provides a new one.
func (c *Config) readKnownEndpoints(text json.RawMessage) error {
	c.KnownEndpoints = parseKnownEndpoints(text)
	return nil
}

func parseKnownEndpoints(text json.RawMessage) *client.ListUpdate {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	update := new(client.ListUpdate)
	if err := json.Unmarshal(text, update); err != nil {
		slog.Warn("configuration: known endpoint list ignored", "err", err)
		return nil
	}
	return update
}

func (c *Config) readSeed(text string) (err error) {
	if c.Seed, err = strconv.ParseUint(text, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	return nil
}

func (c *Config) checkNames() error {
	if slices.Contains(c.Classes, "") || slices.Contains(c.Tenants, "") {
		return errors.New("settings: a class or tenant has no name")
	}
	return nil
}

func (c *Config) readConnections(text json.RawMessage) error {
	table, err := parseConnections(text)
	if err != nil {
		return err
	}
	c.Connections, err = deriveConnectionLimits(c.Limits, table)
	return err
}
