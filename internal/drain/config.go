package drain

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// Config is the configuration file of fleetctl, in JSON.
type Config struct {
	Registry     []string `json:"registry"` // addresses of the replicas
	Floor        Floor    `json:"floor"`
	Sidecars     int      `json:"sidecars"`   // number of sidecars in the fleet; 0: unknown
	MaxRequestMS int64    `json:"longest_ms"` // the longest request timeout of any client
	LeaseMS      int64    `json:"lease_ms"`   // how long a claim lasts without a renewal
	StopCommand  []string `json:"stop"`       // the command that stops a server
	// WaitForMembers makes a drain wait until the machine's other processes that are members of the
	// fleet have ended, too. The registry's replicas report these members.
	WaitForMembers bool `json:"members"`
}

const (
	// defaultClaimTTL is several times the interval between renewals, but short enough that
	// another operator can soon take over after a crash.
	defaultClaimTTL = 15 * time.Second
	minClaimTTL     = 2 * time.Second
	// registryTimeout exceeds the time that the registry needs to elect a leader after losing one.
	registryTimeout = 10 * time.Second
)

// LoadConfig reads a configuration file. An unknown key is an error.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c := &Config{LeaseMS: defaultClaimTTL.Milliseconds(), MaxRequestMS: -1, Floor: Floor{Default: -1}}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func (c *Config) check() error {
	switch {
	case len(c.Registry) == 0:
		return errors.New("registry is empty, want the address of at least one replica")
	case c.Floor.Default < 0:
		return errors.New("floor.others is missing or negative, want the number of ready servers that must remain in a zone that floor.zones does not name")
	case c.MaxRequestMS < 0:
		return errors.New("longest_ms is missing or negative, want the longest request timeout of any client")
	case c.Sidecars < 0:
		return fmt.Errorf("sidecars is %d, it must not be negative", c.Sidecars)
	case c.LeaseMS < minClaimTTL.Milliseconds():
		return fmt.Errorf("lease_ms is %d, at least %d is needed", c.LeaseMS, minClaimTTL.Milliseconds())
	case len(c.StopCommand) > 0 && c.StopCommand[0] == "":
		return errors.New("stop: the name of the command is empty")
	}
	for zone, n := range c.Floor.Zones {
		if n < 0 {
			return fmt.Errorf("floor.zones: %s is %d, it must not be negative", zone, n)
		}
	}
	return nil
}

// RegistryClient is the part of the registry's API that the workflow of a live fleet uses. client.Client
// implements it.
type RegistryClient interface {
	Registry
	Statuses(ctx context.Context) (got []registry.StatusResponse, all bool)
}

// Workflow returns the workflow of a live fleet. The caller must call end when it no longer uses it.
func (c *Config) Workflow(owner string, pollInterval time.Duration, onEvent func(Event)) (w *Workflow, end func(), err error) {
	r, err := client.New(c.Registry, rand.Uint64())
	if err != nil {
		return nil, nil, err
	}
	r.WithTimeout(registryTimeout)
	return c.WorkflowWith(r, owner, pollInterval, onEvent), r.Close, nil
}

// WorkflowWith returns the workflow of a live fleet, which uses the caller's client of the registry.
func (c *Config) WorkflowWith(r RegistryClient, owner string, pollInterval time.Duration, onEvent func(Event)) *Workflow {
	return &Workflow{
		Registry: r,
		Fleet: &LiveFleet{
			Statuses:       r.Statuses,
			Sidecars:       c.Sidecars,
			MaxRequestTime: time.Duration(c.MaxRequestMS) * time.Millisecond,
			StopCommand:    c.StopCommand,
			Now:            time.Now,
			MembershipURLs: c.membershipURLs(),
		},
		Floor:        c.Floor,
		Owner:        owner,
		ClaimTTL:     time.Duration(c.LeaseMS) * time.Millisecond,
		PollInterval: pollInterval,
		Now:          time.Now,
		Sleep:        sleepContext,
		OnEvent:      onEvent,
	}
}

func (c *Config) membershipURLs() []string {
	if !c.WaitForMembers {
		return nil
	}
	var urls []string
	for _, replica := range c.Registry {
		urls = append(urls, "http://"+replica+registry.APIPath+membership.ViewPath)
	}
	return urls
}

// sleepContext waits for d, or returns ctx's error if ctx ends before.
func sleepContext(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
