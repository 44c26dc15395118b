// Package server replicates the list of booking servers with Raft and serves it:
// the protocol's list and watch, and the write interface.
package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
)

// Config is what a replica is told.
type Config struct {
	Group    string                 `json:"group"`
	ID       string                 `json:"id"`
	DataDir  string                 `json:"data"`     // the folder that holds its log
	Replicas []registry.ReplicaInfo `json:"replicas"` // the group at its founding, this one among them
	// Join says that this replica is added to a group that runs already: it founds
	// none, and waits until an operator adds it.
	Join     bool          `json:"join"`
	Limits   Limits        `json:"limits"`
	Sessions SessionConfig `json:"sessions"`
	Leases   LeaseConfig   `json:"leases"`
	Timing   TimingConfig  `json:"timing"`
	// Routes are where to call instead of other replicas' addresses, where the way
	// there leads over something.
	Routes addressmap.Table `json:"routes,omitempty"`
	// Membership lets it know the other processes of the fleet without the registry;
	// docs/MEMBERSHIP.md. nil: it does not.
	Membership *membership.Config `json:"membership,omitempty"`
}

// Limits bound what callers may take.
type Limits struct {
	Watches int `json:"watches"` // open at once
	Calls   int `json:"calls"`   // under way at once, but for watches that are open
	Waiting int `json:"waiting"` // that wait for their turn
}

// maxConnections is how many callers there may be at once.
func (l Limits) maxConnections() int { return l.Watches + l.Calls + l.Waiting }

// SessionConfig are the rules on instances that stop renewing.
type SessionConfig struct {
	Floor    float64 `json:"floor"`        // the part of the sessions that no silence removes
	WindowMS int64   `json:"within_ms"`    // of those there were in this time
	MinTTLMS int64   `json:"least_ttl_ms"` // what an instance may ask for
	MaxTTLMS int64   `json:"most_ttl_ms"`
}

// LeaseConfig are the rules on leases.
type LeaseConfig struct {
	MinTTLMS        int64 `json:"least_ttl_ms"` // what a claim may ask for
	MaxTTLMS        int64 `json:"most_ttl_ms"`
	WritesPerSecond int64 `json:"writes_per_s"` // commands on leases that a leader takes; renewals are none
}

// TimingConfig is how long replicas wait for each other.
type TimingConfig struct {
	ElectionMS int64 `json:"election_ms"` // without a leader's word before a replica stands for election
}

const (
	defaultWatches       = 1024 // several hundred sidecars, and as many again as they change over
	defaultCalls         = 16
	defaultWaiting       = 512
	defaultFloor         = 0.5
	defaultSessionWindow = time.Minute
	defaultMinTTL        = 500 * time.Millisecond // as long as an election may begin late
	defaultMaxTTL        = time.Hour
	defaultElection      = 500 * time.Millisecond // on loopback a word takes under a millisecond
	defaultMinLeaseTTL   = 500 * time.Millisecond // as long as an election may begin late
	defaultMaxLeaseTTL   = 15 * time.Second       // a new group grants none for that long
	defaultLeaseWrites   = 1000                   // several times what half of a thousand leases moving in a second take
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

// ParseConfig reads a configuration and fills in what it leaves out. An unknown
// key is an error.
func ParseConfig(text []byte) (*Config, error) {
	c := &Config{
		Limits: Limits{Watches: defaultWatches, Calls: defaultCalls, Waiting: defaultWaiting},
		Sessions: SessionConfig{
			Floor: defaultFloor, WindowMS: defaultSessionWindow.Milliseconds(),
			MinTTLMS: defaultMinTTL.Milliseconds(), MaxTTLMS: defaultMaxTTL.Milliseconds(),
		},
		Leases: LeaseConfig{MinTTLMS: defaultMinLeaseTTL.Milliseconds(), MaxTTLMS: defaultMaxLeaseTTL.Milliseconds(), WritesPerSecond: defaultLeaseWrites},
		Timing: TimingConfig{ElectionMS: defaultElection.Milliseconds()},
	}
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

func (c *Config) validate() error {
	if err := registry.CheckName("group", c.Group); err != nil {
		return err
	}
	if err := registry.CheckName("id", c.ID); err != nil {
		return err
	}
	if c.DataDir == "" {
		return fmt.Errorf("data is missing: the folder for this replica's log")
	}
	if len(c.Replicas) == 0 || len(c.Replicas) > maxReplicas {
		return fmt.Errorf("replicas: %d are named, 1 to %d may be", len(c.Replicas), maxReplicas)
	}
	if !c.Join && len(c.Replicas)%2 == 0 {
		return fmt.Errorf("replicas: %d are named, an odd number is needed: an even one bears no more losses", len(c.Replicas))
	}
	seen := make(map[string]string)
	for _, m := range c.Replicas {
		if err := validateMember(m); err != nil {
			return fmt.Errorf("replicas: %w", err)
		}
		for _, of := range []string{"id " + m.ID, "address " + m.HTTP, "address " + m.Raft} {
			if other, ok := seen[of]; ok {
				return fmt.Errorf("replicas: %s belongs to %s and to %s", of, other, m.ID)
			}
			seen[of] = m.ID
		}
	}
	if _, ok := c.findSelf(); !ok {
		return fmt.Errorf("replicas: none has the id %q of this one", c.ID)
	}
	for _, f := range []struct {
		name        string
		value       int64
		least, most int64
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
		if f.value < f.least || f.value > f.most {
			return fmt.Errorf("%s is %d, it must lie between %d and %d", f.name, f.value, f.least, f.most)
		}
	}
	if !(c.Sessions.Floor >= 0 && c.Sessions.Floor <= 1) {
		return fmt.Errorf("sessions.floor is %v, a part between 0 and 1 is needed", c.Sessions.Floor)
	}
	if err := c.Routes.Check(); err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	if c.Membership != nil {
		return c.Membership.Check()
	}
	return nil
}

func validateMember(m registry.ReplicaInfo) error {
	if err := registry.CheckName("id", m.ID); err != nil {
		return err
	}
	for _, f := range [][2]string{{"http", m.HTTP}, {"raft", m.Raft}} {
		a, err := netip.ParseAddrPort(f[1])
		switch {
		case err != nil:
			return fmt.Errorf("%s: %s %.64q is not an address with a port", m.ID, f[0], f[1])
		case !a.Addr().Unmap().IsLoopback():
			return fmt.Errorf("%s: %s %s is not a loopback address", m.ID, f[0], f[1])
		}
	}
	return nil
}

// Self is this replica, with its addresses.
func (c *Config) Self() registry.ReplicaInfo {
	m, _ := c.findSelf()
	return m
}

// findSelf is this replica among those named.
func (c *Config) findSelf() (registry.ReplicaInfo, bool) {
	i := slices.IndexFunc(c.Replicas, func(m registry.ReplicaInfo) bool { return m.ID == c.ID })
	if i < 0 {
		return registry.ReplicaInfo{}, false
	}
	return c.Replicas[i], true
}

// reloaded takes over from a fresh configuration what may change under way, and
// says so where something else has changed.
func (c *Config) reloaded(fresh *Config) (*Config, error) {
	next := *c
	next.Limits, next.Sessions = fresh.Limits, fresh.Sessions
	a, errA := json.Marshal(next)
	b, errB := json.Marshal(fresh)
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		return nil, fmt.Errorf("only limits and sessions may change while a replica runs")
	}
	return &next, nil
}

func (c *Config) electionTimeout() time.Duration {
	return time.Duration(c.Timing.ElectionMS) * time.Millisecond
}
