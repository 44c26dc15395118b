package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/configfile"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/settings"
	"barleywick/internal/sidecar/handover"
	"barleywick/policy"
)

// Config is what one sidecar is told at its start.
type Config struct {
	Name              string
	Listen            string // the one address to listen on
	Discovery         string
	DiscoveryReplicas []string // further addresses of the same discovery service
	Seed              uint64
	KnownEndpoints    *client.ListUpdate // the list of upstreams as last held; nil where there is none
	Limits            Limits
	Path              string // the file it came from

	Policy              policy.Config
	Classes             []string
	Tenants             []string // empty: there is one, and requests need not name it
	Zones               []string
	LoadReportColumns   settings.LoadColumns // the names in a load report
	DialTimeout         time.Duration        // a connection not made by then never comes
	UpstreamIdleTimeout time.Duration        // upstreams close a connection that was idle this long
	Connections         ConnectionLimits     // how many connections, on both sides
	Takeover            *Takeover            // how a new process takes this one's place; nil: it does not
	FleetPolicy         *FleetPolicy         // where the fleet's policy comes from; nil: there is none
	Overload            *Overload            // where its word on an overload comes from; nil: there is none
	Membership          *membership.Config   // how it is a member of the fleet; nil: it is none
	Log                 Log                  // how the program's log is written
	Metrics             Metrics              // where metrics are served; nowhere unless it says so
}

// Limits are the platform's limits on this process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	defaultRosterLease = 5 * time.Second
	minRosterLease     = time.Second
	// defaultReadyTimeout is as long as a platform waits for a sidecar at the start of a run.
	defaultReadyTimeout = 30 * time.Second
	defaultSockets      = 1024
	MinSockets          = 64 // below, neither side could hold a handful of connections
	defaultDialTimeout  = 250 * time.Millisecond
	defaultUpstreamIdle = 15 * time.Second
)

// Load reads the configuration file that ROUTER_CONFIG names. ROUTER_NAME,
// ROUTER_LISTEN and ROUTER_DISCOVERY go before what the file says of them.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG is not set: it names the configuration file")
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

// readConfig reads the file. Where the limits of this process are fixed already,
// those count and not the file's.
func readConfig(path string, fixed *Limits) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	platform := text
	if isTOML(path) {
		if platform, err = platformForm(text, drawSeed); err != nil {
			return nil, fmt.Errorf("configuration %s: %w", path, err)
		}
	}
	c, err := Parse(platform, fixed)
	if err != nil {
		if isTOML(path) {
			err = configfile.AtLine(text, err)
		}
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// drawSeed is the seed of a sidecar that was given none.
func drawSeed() string { return strconv.FormatUint(rand.Uint64(), 16) }

// Reload reads the file again and takes over what may change under way: where
// discovery is and the limits on connections. The platform's limits are those of
// the start. The environment is that of the start too, so here the file alone
// counts. If the file is of no use, c stays as it is.
func (c *Config) Reload() error {
	fresh, err := readConfig(c.Path, &c.Limits)
	if err != nil {
		return err
	}
	if err := fresh.checkDiscovery(); err != nil {
		return err
	}
	c.Discovery, c.DiscoveryReplicas, c.Connections = fresh.Discovery, fresh.DiscoveryReplicas, fresh.Connections
	return nil
}

// maxDiscoveryReplicas is more than a group of replicas has.
const maxDiscoveryReplicas = 16

func (c *Config) checkDiscovery() error {
	if len(c.DiscoveryReplicas) > maxDiscoveryReplicas {
		return fmt.Errorf("discovery_replicas: %d addresses, %d at most", len(c.DiscoveryReplicas), maxDiscoveryReplicas)
	}
	for _, addr := range c.DiscoveryAddrs() {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("discovery address: %w", err)
		}
	}
	return nil
}

// DiscoveryAddrs are all addresses of discovery, each once.
func (c *Config) DiscoveryAddrs() []string {
	addrs := []string{c.Discovery}
	for _, addr := range c.DiscoveryReplicas {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func Parse(text []byte, fixed *Limits) (*Config, error) {
	var f struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Replicas  []string        `json:"discovery_replicas"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`

		Connections json.RawMessage `json:"connections"`
		Takeover    json.RawMessage `json:"takeover"`
		Policy      json.RawMessage `json:"policy"`
		Overload    json.RawMessage `json:"overload"`
		Membership  json.RawMessage `json:"membership"`
		Log         Log             `json:"log"`
		Metrics     Metrics         `json:"metrics"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if f.Settings == nil {
		return nil, fmt.Errorf("settings are missing")
	}
	s, err := settings.ParseJSON(f.Settings)
	if err != nil {
		return nil, err
	}
	p, err := s.PolicyConfig()
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, DiscoveryReplicas: f.Replicas, Limits: f.Limits, KnownEndpoints: parseKnown(f.Known),
		Log: f.Log, Metrics: f.Metrics,
		Policy:              p,
		Classes:             s.Names("classes"),
		Tenants:             s.Names("orgs"),
		Zones:               s.Values("zones"),
		LoadReportColumns:   s.LoadColumns(),
		DialTimeout:         s.Duration("caps.dial_timeout_ms", defaultDialTimeout),
		UpstreamIdleTimeout: s.Duration("caps.conn_idle_ms", defaultUpstreamIdle),
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if slices.Contains(c.Classes, "") || slices.Contains(c.Tenants, "") {
		return nil, fmt.Errorf("settings: a class or tenant has no name")
	}
	if addr := c.Metrics.Listen; addr != "" {
		if a, err := netip.ParseAddrPort(addr); err != nil || !a.Addr().Unmap().IsLoopback() {
			return nil, fmt.Errorf("metrics.listen is %.64q, a loopback address with a port is needed", addr)
		}
	}
	if fixed != nil {
		c.Limits = *fixed
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.Sockets < MinSockets {
		return nil, fmt.Errorf("limits.sockets is %d, at least %d are needed", c.Limits.Sockets, MinSockets)
	}
	if len(f.Takeover) > 0 {
		c.Takeover = new(Takeover)
		if err := decodePart("takeover", f.Takeover, c.Takeover, c.Takeover.check); err != nil {
			return nil, err
		}
	}
	if len(f.Policy) > 0 {
		c.FleetPolicy = new(FleetPolicy)
		if err := decodePart("policy", f.Policy, &c.FleetPolicy.FilePolicy, c.FleetPolicy.check); err != nil {
			return nil, err
		}
		if c.Takeover != nil {
			return nil, fmt.Errorf("policy: it cannot be named beside takeover: two processes of one sidecar have one seat")
		}
	}
	if len(f.Overload) > 0 {
		c.Overload = new(Overload)
		if err := decodePart("overload", f.Overload, &c.Overload.FileOverload, c.Overload.check); err != nil {
			return nil, err
		}
	}
	if len(f.Membership) > 0 {
		c.Membership = new(membership.Config)
		if err := decodePart("membership", f.Membership, c.Membership, c.Membership.Check); err != nil {
			return nil, err
		}
	}
	said, err := parseConnectionsConfig(f.Connections)
	if err != nil {
		return nil, err
	}
	if c.Connections, err = deriveConnectionLimits(c.Limits, said); err != nil {
		return nil, err
	}
	return c, nil
}

// decodePart reads a table that may be left out, strictly.
func decodePart(name string, text json.RawMessage, into any, check func() error) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return check()
}

// parseKnown reads the list as last held. One that cannot be read is done
// without: discovery brings another.
func parseKnown(text json.RawMessage) *client.ListUpdate {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	known := new(client.ListUpdate)
	if err := json.Unmarshal(text, known); err != nil {
		slog.Warn("configuration: the known list is passed over", "err", err)
		return nil
	}
	return known
}

// Takeover is the configuration's optional object 'takeover'.
type Takeover struct {
	Socket  string `json:"socket"`   // the path of the Unix socket; its folder is the operator's to guard
	ReadyMS int64  `json:"ready_ms"` // how long a new process may take to be ready
}

func (t *Takeover) check() error {
	switch {
	case !filepath.IsAbs(t.Socket):
		return fmt.Errorf("takeover.socket is %q, an absolute path is needed", t.Socket)
	case len(t.Socket) > handover.MaxSocketPath:
		return fmt.Errorf("takeover.socket has %d bytes, %d at most", len(t.Socket), handover.MaxSocketPath)
	case t.ReadyMS < 0:
		return fmt.Errorf("takeover.ready_ms is %d, it must not be negative", t.ReadyMS)
	}
	return nil
}

func (t *Takeover) ReadyTimeout() time.Duration {
	if t.ReadyMS == 0 {
		return defaultReadyTimeout
	}
	return time.Duration(t.ReadyMS) * time.Millisecond
}

// Handover is what the hand-over needs of the configuration.
func (c *Config) Handover() handover.Config {
	return handover.Config{Name: c.Name, Listen: c.Listen, Socket: c.Takeover.Socket, ReadyTimeout: c.Takeover.ReadyTimeout()}
}

// FleetPolicy names the registry that the fleet's policy comes from.
type FleetPolicy struct {
	FilePolicy
	AddressMap addressmap.Table
}

func (c *FleetPolicy) check() error {
	if err := checkReplicas("policy", c.Registry); err != nil {
		return err
	}
	if c.LeaseMS == 0 {
		c.LeaseMS = defaultRosterLease.Milliseconds()
	}
	if c.LeaseMS < minRosterLease.Milliseconds() {
		return fmt.Errorf("policy.lease_ms is %d, at least %d is needed", c.LeaseMS, minRosterLease.Milliseconds())
	}
	var err error
	if c.AddressMap, err = parseRoutes("policy", c.Routes); err != nil {
		return err
	}
	return nil
}

// checkReplicas checks the addresses of the registry that a table names.
func checkReplicas(table string, addrs []string) error {
	if len(addrs) == 0 {
		return fmt.Errorf("%s.registry is missing: the addresses of its replicas", table)
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("%s.registry: %.64q is not an address with a port", table, a)
		}
	}
	return nil
}

// parseRoutes reads the addresses that a table has called instead of others.
func parseRoutes(table string, pairs []string) (addressmap.Table, error) {
	t := make(addressmap.Table, len(pairs))
	for _, r := range pairs {
		from, to, _ := strings.Cut(r, "=")
		t[from] = to
	}
	if err := t.Check(); err != nil {
		return nil, fmt.Errorf("%s.routes: %w", table, err)
	}
	return t, nil
}

// Overload names where the fleet's word on an overload comes from.
type Overload struct {
	FileOverload
	AddressMap addressmap.Table
}

func (c *Overload) check() (err error) {
	if c.Fleet == "" {
		return errors.New("overload.fleet is missing: the fleet's name, as the keepers have it")
	}
	if err := registry.CheckName("overload.fleet", c.Fleet); err != nil {
		return err
	}
	if err := checkReplicas("overload", c.Registry); err != nil {
		return err
	}
	c.AddressMap, err = parseRoutes("overload", c.Routes)
	return err
}
