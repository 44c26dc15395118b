package drain

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// Config is what the operator's command is told.
type Config struct {
	Registry     []string `json:"registry"` // addresses of its replicas
	Floor        Floor    `json:"floor"`
	Sidecars     int      `json:"sidecars"`   // how many there are; 0: not known
	MaxRequestMS int64    `json:"longest_ms"` // the longest time that a client gives a request
	LeaseMS      int64    `json:"lease_ms"`   // how long a claim lasts without a renewal
	StopCommand  []string `json:"stop"`       // the command that stops a server
	// WaitForMembers says that a drain is over only when the machine's other processes that are
	// members of the fleet have ended too. The registry's replicas are asked.
	WaitForMembers bool `json:"members"`
}

const (
	// defaultClaimTTL is several times the pause between renewals, and short enough
	// that another operator need not wait long after a crash.
	defaultClaimTTL = 15 * time.Second
	minClaimTTL     = 2 * time.Second
	// registryTimeout is how long the registry may take to answer: longer than it is without
	// a leader after a loss.
	registryTimeout = 10 * time.Second
)

// LoadConfig reads the command's configuration file. An unknown key is an error.
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
		return fmt.Errorf("registry: no address of a replica is named")
	case c.Floor.Default < 0:
		return fmt.Errorf("floor.others is missing or negative: how many ready servers must remain in a zone that floor.zones does not name")
	case c.MaxRequestMS < 0:
		return fmt.Errorf("longest_ms is missing or negative: the longest time that a client gives a request")
	case c.Sidecars < 0:
		return fmt.Errorf("sidecars is %d, it must not be negative", c.Sidecars)
	case c.LeaseMS < minClaimTTL.Milliseconds():
		return fmt.Errorf("lease_ms is %d, at least %d is needed", c.LeaseMS, minClaimTTL.Milliseconds())
	case len(c.StopCommand) > 0 && c.StopCommand[0] == "":
		return fmt.Errorf("stop: the command has no name")
	}
	for zone, n := range c.Floor.Zones {
		if n < 0 {
			return fmt.Errorf("floor.zones: %s is %d, it must not be negative", zone, n)
		}
	}
	return nil
}

// Workflow makes the workflow for the real site. end lets go of its connections.
func (c *Config) Workflow(owner string, poll time.Duration, say func(string, ...any)) (w *Workflow, end func(), err error) {
	r, err := client.New(c.Registry, rand.Uint64())
	if err != nil {
		return nil, nil, err
	}
	r.WithTimeout(registryTimeout)
	return c.WorkflowWith(r, owner, poll, say), r.Close, nil
}

// RegistryClient is what the workflow needs of a registry's client.
type RegistryClient interface {
	Registry
	Statuses(ctx context.Context) (got []registry.StatusResponse, all bool)
}

// WorkflowWith makes the workflow for the real site over a client of the caller's.
func (c *Config) WorkflowWith(r RegistryClient, owner string, poll time.Duration, say func(string, ...any)) *Workflow {
	var views []string
	for _, replica := range c.Registry {
		if c.WaitForMembers {
			views = append(views, "http://"+replica+registry.APIPath+membership.ViewPath)
		}
	}
	return &Workflow{
		Registry: r,
		Fleet: &LiveFleet{
			MembershipURLs: views,
			Statuses:       r.Statuses, Sidecars: c.Sidecars, MaxRequestTime: time.Duration(c.MaxRequestMS) * time.Millisecond, StopCommand: c.StopCommand, Now: time.Now,
		},
		Floor: c.Floor, Owner: owner, ClaimTTL: time.Duration(c.LeaseMS) * time.Millisecond, PollInterval: poll, Now: time.Now, Sleep: sleepContext, Say: say,
	}
}

func sleepContext(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
