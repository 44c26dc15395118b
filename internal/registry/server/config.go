// Package server replicates the state of package registry with Raft and serves it over
// HTTP: list and watch for sidecars, and the API for writes.
package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
)

// Config is a replica's configuration file.
type Config struct {
	Group   string `json:"group"`
	ID      string `json:"id"`
	DataDir string `json:"data"` // folder of the replica's log and snapshots
	// Replicas lists the founding members of the group, including this replica.
	Replicas []registry.ReplicaInfo `json:"replicas"`
	// Join is true for a replica that joins a running group: it founds no group, and waits until
	// an operator adds it.
	Join     bool          `json:"join"`
	Limits   Limits        `json:"limits"`
	Sessions SessionConfig `json:"sessions"`
	Leases   LeaseConfig   `json:"leases"`
	Timing   TimingConfig  `json:"timing"`
	// Routes maps the addresses of other replicas to the addresses to dial instead, for example
	// that of a forwarding proxy.
	Routes addressmap.Map `json:"routes,omitempty"`
	// Membership makes the replica a member of the fleet (docs/MEMBERSHIP.md); nil if it is not one.
	Membership *membership.Config `json:"membership,omitempty"`
}

// Limits bound the number of concurrent watches and calls.
type Limits struct {
	Watches int `json:"watches"` // open watches; as many long polls may be open
	Calls   int `json:"calls"`   // other calls
	Waiting int `json:"waiting"` // calls queued for one of the Calls slots
}

// maxConnections returns how many connections can be served or queued at once.
func (l Limits) maxConnections() int { return 2*l.Watches + l.Calls + l.Waiting }

// SessionConfig configures the sessions of instances.
type SessionConfig struct {
	Floor    float64 `json:"floor"`        // expiry is held back when fewer than this fraction of the recent sessions are live
	WindowMS int64   `json:"within_ms"`    // time over which Floor counts the recent sessions
	MinTTLMS int64   `json:"least_ttl_ms"` // bounds of the TTL that an instance may request
	MaxTTLMS int64   `json:"most_ttl_ms"`
}

// LeaseConfig configures leases.
type LeaseConfig struct {
	MinTTLMS        int64 `json:"least_ttl_ms"` // bounds of the TTL that a claim may request
	MaxTTLMS        int64 `json:"most_ttl_ms"`
	WritesPerSecond int64 `json:"writes_per_s"` // lease commands that a leader applies per second; renewals are not commands
}

// TimingConfig holds the timeouts between replicas.
type TimingConfig struct {
	ElectionMS int64 `json:"election_ms"` // time without a heartbeat after which a replica starts an election
}

const (
	defaultWatches       = 1024 // several hundred sidecars, with two processes each while they are being replaced
	defaultCalls         = 16
	defaultWaiting       = 512
	defaultFloor         = 0.5
	defaultSessionWindow = time.Minute
	defaultMinTTL        = 500 * time.Millisecond // an election may start late by as much
	defaultMaxTTL        = time.Hour
	defaultElection      = 500 * time.Millisecond // a message over loopback takes less than a millisecond
	defaultMinLeaseTTL   = 500 * time.Millisecond // an election may start late by as much
	defaultMaxLeaseTTL   = 15 * time.Second       // a new group grants no lease for that long
	defaultLeaseWrites   = 1000                   // per second; several times the writes of 500 leases that change holders at once
	minElectionTimeout   = 50 * time.Millisecond
	maxReplicas          = 7
)

// LoadConfig reads a replica's configuration file.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// ParseConfig parses a configuration, fills in the defaults and validates it. An unknown key is an error.
func ParseConfig(text []byte) (*Config, error) {
	c := defaultConfig()
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, err
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

func defaultConfig() *Config {
	return &Config{
		Limits: Limits{Watches: defaultWatches, Calls: defaultCalls, Waiting: defaultWaiting},
		Sessions: SessionConfig{
			Floor:    defaultFloor,
			WindowMS: defaultSessionWindow.Milliseconds(),
			MinTTLMS: defaultMinTTL.Milliseconds(),
			MaxTTLMS: defaultMaxTTL.Milliseconds(),
		},
		Leases: LeaseConfig{
			MinTTLMS:        defaultMinLeaseTTL.Milliseconds(),
			MaxTTLMS:        defaultMaxLeaseTTL.Milliseconds(),
			WritesPerSecond: defaultLeaseWrites,
		},
		Timing: TimingConfig{ElectionMS: defaultElection.Milliseconds()},
	}
}

// validate returns the first error found, as one line.
func (c *Config) validate() error {
	for _, check := range []func() error{c.validateIdentity, c.validateReplicas, c.validateRanges, c.validateFloor, c.validateRoutes} {
		if err := check(); err != nil {
			return err
		}
	}
	if c.Membership != nil {
		return c.Membership.Check()
	}
	return nil
}

func (c *Config) validateIdentity() error {
	if err := registry.CheckName("group", c.Group); err != nil {
		return err
	}
	if err := registry.CheckName("id", c.ID); err != nil {
		return err
	}
	if c.DataDir == "" {
		return errors.New("data is missing, want the folder for this replica's log")
	}
	return nil
}

func (c *Config) validateReplicas() error {
	if len(c.Replicas) == 0 || len(c.Replicas) > maxReplicas {
		return fmt.Errorf("replicas: got %d, want 1 to %d", len(c.Replicas), maxReplicas)
	}
	if !c.Join && len(c.Replicas)%2 == 0 {
		return fmt.Errorf("replicas: got %d, want an odd number: one more replica would not tolerate more failures", len(c.Replicas))
	}
	owner := make(map[string]string) // replica id by each id and address in use
	for _, replica := range c.Replicas {
		if err := validateReplica(replica); err != nil {
			return fmt.Errorf("replicas: %w", err)
		}
		for _, unique := range []string{"id " + replica.ID, "address " + replica.HTTP, "address " + replica.Raft} {
			if other, ok := owner[unique]; ok {
				return fmt.Errorf("replicas: %s belongs to %s and to %s", unique, other, replica.ID)
			}
			owner[unique] = replica.ID
		}
	}
	if _, ok := c.findSelf(); !ok {
		return fmt.Errorf("replicas: this replica's id %q is not in the list", c.ID)
	}
	return nil
}

func (c *Config) validateRanges() error {
	for _, f := range []struct {
		key             string
		value, min, max int64
	}{
		{"limits.watches", int64(c.Limits.Watches), 1, 1 << 20},
		{"limits.calls", int64(c.Limits.Calls), 1, 1 << 12},
		{"limits.waiting", int64(c.Limits.Waiting), 0, 1 << 16},
		{"sessions.within_ms", c.Sessions.WindowMS, 1, time.Hour.Milliseconds()},
		{"sessions.most_ttl_ms", c.Sessions.MaxTTLMS, 1, (24 * time.Hour).Milliseconds()},
		{"sessions.least_ttl_ms", c.Sessions.MinTTLMS, 1, c.Sessions.MaxTTLMS},
		{"leases.most_ttl_ms", c.Leases.MaxTTLMS, 1, (10 * time.Minute).Milliseconds()},
		{"leases.least_ttl_ms", c.Leases.MinTTLMS, 1, c.Leases.MaxTTLMS},
		{"leases.writes_per_s", c.Leases.WritesPerSecond, 1, 1 << 20},
		{"timing.election_ms", c.Timing.ElectionMS, minElectionTimeout.Milliseconds(), time.Minute.Milliseconds()},
	} {
		if f.value < f.min || f.value > f.max {
			return fmt.Errorf("%s is %d, want %d to %d", f.key, f.value, f.min, f.max)
		}
	}
	return nil
}

func (c *Config) validateFloor() error {
	if !(c.Sessions.Floor >= 0 && c.Sessions.Floor <= 1) { // also false for NaN
		return fmt.Errorf("sessions.floor is %v, want a fraction between 0 and 1", c.Sessions.Floor)
	}
	return nil
}

func (c *Config) validateRoutes() error {
	if err := c.Routes.Check(); err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	return nil
}

// validateReplica returns an error if a replica's id or addresses cannot be used.
func validateReplica(replica registry.ReplicaInfo) error {
	if err := registry.CheckName("id", replica.ID); err != nil {
		return err
	}
	for _, address := range []struct{ key, value string }{{"http", replica.HTTP}, {"raft", replica.Raft}} {
		parsed, err := netip.ParseAddrPort(address.value)
		switch {
		case err != nil:
			return fmt.Errorf("%s: %s %.64q is not an address with a port", replica.ID, address.key, address.value)
		case !parsed.Addr().Unmap().IsLoopback():
			return fmt.Errorf("%s: %s %s is not a loopback address", replica.ID, address.key, address.value)
		}
	}
	return nil
}

// Self returns this replica's id and addresses.
func (c *Config) Self() registry.ReplicaInfo {
	self, _ := c.findSelf()
	return self
}

// findSelf returns this replica's entry in Replicas.
func (c *Config) findSelf() (registry.ReplicaInfo, bool) {
	i := slices.IndexFunc(c.Replicas, func(replica registry.ReplicaInfo) bool { return replica.ID == c.ID })
	if i < 0 {
		return registry.ReplicaInfo{}, false
	}
	return c.Replicas[i], true
}

// reloaded returns a copy of this configuration with the reloadable settings of a fresh one. It
// returns an error if any other setting differs.
func (c *Config) reloaded(fresh *Config) (*Config, error) {
	next := *c
	next.Limits, next.Sessions = fresh.Limits, fresh.Sessions
	nextText, nextErr := json.Marshal(next)
	freshText, freshErr := json.Marshal(fresh)
	if nextErr != nil || freshErr != nil || !bytes.Equal(nextText, freshText) {
		return nil, errors.New("a setting other than limits and sessions differs; only these two may change without a restart")
	}
	return &next, nil
}

func (c *Config) electionTimeout() time.Duration {
	return time.Duration(c.Timing.ElectionMS) * time.Millisecond
}
