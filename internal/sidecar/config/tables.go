package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/sidecar/handover"
)

// The optional tables of a configuration and their checks.

const (
	// defaultReadyTimeout is how long the platform waits for a sidecar to start.
	defaultReadyTimeout = 30 * time.Second

	defaultRosterLease = 5 * time.Second
	minRosterLease     = time.Second
)

// decodeTable decodes a table, rejecting unknown keys, and checks it.
func decodeTable(name string, text json.RawMessage, target any, check func() error) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return check()
}

// Limits are the platform's limits on this process.
type Limits struct {
	Cores    float64 `toml:"cores" json:"cores" unit:"cores" default:"all" doc:"threads that run at once"`
	MemoryMB int64   `toml:"memory_mb" json:"memory_mb" unit:"MiB" default:"no limit" doc:"the collector keeps the heap under three quarters of it"`
	Sockets  int     `toml:"sockets" json:"sockets" default:"1024" doc:"descriptors; 64 at least. The limits on connections follow from it"`
}

// check sets the default number of sockets and returns an error if there are too few.
func (l *Limits) check() error {
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.Sockets < MinSockets {
		return fmt.Errorf("limits.sockets is %d, at least %d are needed", l.Sockets, MinSockets)
	}
	return nil
}

// Log configures the program's own log.
type Log struct {
	Level  string `toml:"level" json:"level,omitempty" default:"info" doc:"lowest level: debug (a line for each attempt and response), info, warn, error"`
	Format string `toml:"format" json:"format,omitempty" default:"text" doc:"text or json"`
}

// Metrics configures where metrics are served. With an empty address they are not served.
type Metrics struct {
	Listen string `toml:"listen" json:"listen,omitempty" unit:"address:port" default:"no metrics" doc:"a loopback address of their own for Prometheus, path /metrics"`
}

func (m *Metrics) check() error {
	if m.Listen == "" {
		return nil
	}
	if a, err := netip.ParseAddrPort(m.Listen); err != nil || !a.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("metrics.listen is %.64q, a loopback address with a port is needed", m.Listen)
	}
	return nil
}

// Takeover configures the hand-over from a running process to its successor.
type Takeover struct {
	Socket  string `toml:"socket" json:"socket" unit:"path" default:"no take-over" doc:"the Unix socket at which a successor process requests the hand-over; the operator protects its folder"`
	ReadyMS int64  `toml:"ready_ms" json:"ready_ms,omitempty" unit:"ms" default:"30000" doc:"how long a new process may take to be ready"`
}

func (c *Config) readTakeover(text json.RawMessage) error {
	if len(text) == 0 {
		return nil
	}
	c.Takeover = new(Takeover)
	return decodeTable("takeover", text, c.Takeover, c.Takeover.check)
}

func (t *Takeover) check() error {
	switch {
	case !filepath.IsAbs(t.Socket):
		return fmt.Errorf("takeover.socket is %q, an absolute path is needed", t.Socket)
	case len(t.Socket) > handover.MaxSocketPath:
		return fmt.Errorf("takeover.socket has %d bytes, want at most %d", len(t.Socket), handover.MaxSocketPath)
	case t.ReadyMS < 0:
		return fmt.Errorf("takeover.ready_ms is %d, it must not be negative", t.ReadyMS)
	}
	return nil
}

// ReadyTimeout returns how long a successor process may take to become ready.
func (t *Takeover) ReadyTimeout() time.Duration {
	if t.ReadyMS == 0 {
		return defaultReadyTimeout
	}
	return time.Duration(t.ReadyMS) * time.Millisecond
}

// Handover returns the configuration of the hand-over. Takeover must not be nil.
func (c *Config) Handover() handover.Config {
	return handover.Config{Name: c.Name, Listen: c.Listen, Socket: c.Takeover.Socket, ReadyTimeout: c.Takeover.ReadyTimeout()}
}

// PolicyTable configures the source of the fleet policy.
type PolicyTable struct {
	Registry []string `toml:"registry" json:"registry" unit:"address:port" default:"no policy" doc:"the registry's replicas; this sidecar is ready when it is a member of the roster there (docs/POLICY.md)"`
	Folder   string   `toml:"folder" json:"folder,omitempty" unit:"path" default:"nothing is kept" doc:"the policy store: where it keeps the policy it acts by, for a start when the registry cannot be reached"`
	LeaseMS  int64    `toml:"lease_ms" json:"lease_ms,omitempty" unit:"ms" default:"5000" doc:"under a policy of mode refuse: how long it serves without the registry, at most"`
	Machine  string   `toml:"machine" json:"machine,omitempty" default:"none" doc:"the machine's name, as the controller there has it: it sees when this process has ended, and no rollout waits for it any more"`
	Routes   []string `toml:"routes" json:"routes,omitempty" unit:"address:port=address:port" default:"none" doc:"addresses to call instead of others"`
}

// FleetPolicy is a checked PolicyTable.
type FleetPolicy struct {
	PolicyTable
	AddressMap addressmap.Map // parsed Routes
}

func (c *Config) readFleetPolicy(text json.RawMessage) error {
	if len(text) == 0 {
		return nil
	}
	c.FleetPolicy = new(FleetPolicy)
	if err := decodeTable("policy", text, &c.FleetPolicy.PolicyTable, c.FleetPolicy.check); err != nil {
		return err
	}
	if c.Takeover != nil {
		return errors.New("policy: cannot be combined with takeover: both processes of a sidecar would use the same roster entry")
	}
	return nil
}

func (p *FleetPolicy) check() error {
	if err := checkReplicas("policy", p.Registry); err != nil {
		return err
	}
	if p.LeaseMS == 0 {
		p.LeaseMS = defaultRosterLease.Milliseconds()
	}
	if p.LeaseMS < minRosterLease.Milliseconds() {
		return fmt.Errorf("policy.lease_ms is %d, at least %d is needed", p.LeaseMS, minRosterLease.Milliseconds())
	}
	var err error
	p.AddressMap, err = parseRoutes("policy", p.Routes)
	return err
}

// OverloadTable configures the source of overload advice.
type OverloadTable struct {
	Registry []string `toml:"registry" json:"registry" unit:"address:port" default:"no advice" doc:"the registry's replicas, which say where the overload controller listens (docs/OVERLOAD.md)"`
	Fleet    string   `toml:"fleet" json:"fleet" default:"-" doc:"the fleet's name, as the controllers have it: advice of another fleet's controller is ignored"`
	Routes   []string `toml:"routes" json:"routes,omitempty" unit:"address:port=address:port" default:"none" doc:"addresses to call instead of others"`
}

// Overload is a checked OverloadTable.
type Overload struct {
	OverloadTable
	AddressMap addressmap.Map // parsed Routes
}

func (c *Config) readOverload(text json.RawMessage) error {
	if len(text) == 0 {
		return nil
	}
	c.Overload = new(Overload)
	return decodeTable("overload", text, &c.Overload.OverloadTable, c.Overload.check)
}

func (o *Overload) check() error {
	if o.Fleet == "" {
		return errors.New("overload.fleet is missing: the fleet's name, as in the controllers' configuration")
	}
	if err := registry.CheckName("overload.fleet", o.Fleet); err != nil {
		return err
	}
	if err := checkReplicas("overload", o.Registry); err != nil {
		return err
	}
	var err error
	o.AddressMap, err = parseRoutes("overload", o.Routes)
	return err
}

func (c *Config) readMembership(text json.RawMessage) error {
	if len(text) == 0 {
		return nil
	}
	c.Membership = new(membership.Config)
	return decodeTable("membership", text, c.Membership, c.Membership.Check)
}

// checkReplicas checks a table's addresses of the registry's replicas.
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

// parseRoutes parses pairs of an address and the address to call instead, in the form from=to.
func parseRoutes(table string, pairs []string) (addressmap.Map, error) {
	routes := make(addressmap.Map, len(pairs))
	for _, pair := range pairs {
		from, to, _ := strings.Cut(pair, "=")
		routes[from] = to
	}
	if err := routes.Check(); err != nil {
		return nil, fmt.Errorf("%s.routes: %w", table, err)
	}
	return routes, nil
}
