package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

const (
	// healthShards is the number of tasks that the health checks of booking servers are divided
	// into: enough to spread them evenly over a handful of controllers.
	healthShards = 8
	// suspicionPollInterval is the time between two checks for servers to probe ahead of schedule.
	suspicionPollInterval = 250 * time.Millisecond
)

// HealthAdvice is the result of the health check for one booking server. The health check removes no
// server itself; readers of the advice decide.
type HealthAdvice struct {
	ConsecutiveFailures int    `json:"failures"` // of probes
	SinceMS             int64  `json:"since_ms"` // time of the first of them, in Unix milliseconds
	LastError           string `json:"said"`     // of the last probe
}

// HealthRecordKey returns the key of the registry record that holds a shard's advice, by host. A
// server without advice counts as healthy.
func HealthRecordKey(shard int) string { return fmt.Sprint("health:", shard) }

// healthTask probes the booking servers of one shard. A probe is a timed act; a surplus probe costs a
// server a fifth of a millisecond.
type healthTask struct {
	config HealthConfig
	client *client.Client
	fleet  *fleetView
	shard  int
}

func (t *healthTask) leaseName() string { return fmt.Sprintf("health-%d", t.shard) }

func (t *healthTask) ownsServer(host string) bool {
	return xxhash.Sum64String(host)%healthShards == uint64(t.shard)
}

func (t *healthTask) run(ctx context.Context, handle *lease.Handle) error {
	timeout := time.Duration(t.config.TimeoutMS) * time.Millisecond
	p := &prober{
		healthTask:  t,
		handle:      handle,
		registry:    fencedRegistry{t.client, handle},
		http:        &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}},
		timeout:     timeout,
		interval:    time.Duration(t.config.IntervalMS) * time.Millisecond,
		failing:     make(map[string]HealthAdvice),
		probedEarly: make(map[string]bool),
	}
	if err := p.readVersion(ctx); err != nil {
		return err
	}
	for {
		if err := p.probeRound(ctx); err != nil {
			return err
		}
	}
}

// prober runs a health task under one grant of its lease.
type prober struct {
	*healthTask
	handle            *lease.Handle
	registry          fencedRegistry
	http              *http.Client
	timeout, interval time.Duration

	failing        map[string]HealthAdvice // by host: servers whose last probe failed
	probedEarly    map[string]bool         // by host: suspected servers that were probed ahead of schedule
	recordVersion  uint64                  // that the next write replaces
	publishedHosts []string                // listed in the record
	hasPublished   bool
}

// readVersion reads the version of the record that the first write replaces. Each write is
// conditional on the version, so that a late duplicate of a write can't overwrite a newer one.
func (p *prober) readVersion(ctx context.Context) error {
	current, err := p.registry.Record(ctx, HealthRecordKey(p.shard))
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		return fmt.Errorf("health advice: %w", err)
	}
	p.recordVersion = current.Version
	return nil
}

// probeRound probes each server of the shard once, and publishes the advice.
func (p *prober) probeRound(ctx context.Context) error {
	start := time.Now()
	servers, err := p.servers(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		slog.Warn("controller: endpoint list not read", "lease", p.handle.LeaseName(), "err", err)
	} else {
		maps.DeleteFunc(p.failing, func(host string, _ HealthAdvice) bool {
			_, registered := findServer(servers, host)
			return !registered
		})
	}
	for i, server := range servers {
		// Spread over the interval, so that no two servers are probed at once.
		turn := start.Add(p.interval * time.Duration(i) / time.Duration(len(servers)))
		if err := p.wait(ctx, turn, servers); err != nil {
			return err
		}
		if err := p.probe(ctx, server); err != nil {
			return err
		}
	}
	if err := p.publish(ctx); err != nil {
		return err
	}
	return p.wait(ctx, start.Add(p.interval), servers)
}

// servers returns the servers of the shard.
func (p *prober) servers(ctx context.Context) ([]registry.Registration, error) {
	list, err := p.registry.Registrations(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(list.Registrations, func(server registry.Registration) bool { return !p.ownsServer(server.Host) }), nil
}

func findServer(servers []registry.Registration, host string) (server registry.Registration, found bool) {
	i := slices.IndexFunc(servers, func(s registry.Registration) bool { return s.Host == host })
	if i < 0 {
		return registry.Registration{}, false
	}
	return servers[i], true
}

// wait waits until a time. Meanwhile it probes, ahead of schedule, servers that members of the fleet
// report as unresponsive, each once per suspicion.
func (p *prober) wait(ctx context.Context, until time.Time, servers []registry.Registration) error {
	for left := time.Until(until); left > 0; left = time.Until(until) {
		if err := pause(ctx, min(left, suspicionPollInterval)); err != nil {
			return err
		}
		suspected := p.fleet.suspectedServers()
		maps.DeleteFunc(p.probedEarly, func(host string, _ bool) bool { return !slices.Contains(suspected, host) })
		for _, host := range suspected {
			if !p.ownsServer(host) || p.probedEarly[host] {
				continue
			}
			p.probedEarly[host] = true
			var err error
			if servers, err = p.probeSuspected(ctx, host, servers); err != nil {
				return err
			}
		}
	}
	return nil
}

// probeSuspected probes a server ahead of schedule. If the server is not in the given list, it reads
// the list again. It returns the current list.
func (p *prober) probeSuspected(ctx context.Context, host string, servers []registry.Registration) ([]registry.Registration, error) {
	server, found := findServer(servers, host)
	if !found {
		if list, err := p.client.Registrations(ctx); err == nil {
			servers = list.Registrations
		}
		if server, found = findServer(servers, host); !found {
			return servers, nil
		}
	}
	slog.Info("controller: probing suspected server", "host", host, "lease", p.leaseName())
	return servers, p.probe(ctx, server)
}

// probe probes a server and records whether the probe failed. It returns an error if the lease does
// not allow the probe.
func (p *prober) probe(ctx context.Context, server registry.Registration) error {
	var failure error
	err := p.handle.RunAct(ctx, p.timeout, func(ctx context.Context) error {
		failure = checkLive(ctx, p.http, server.Dial)
		return nil
	})
	if err != nil {
		return err
	}
	if failure == nil || ctx.Err() != nil {
		delete(p.failing, server.Host)
		return nil
	}
	advice := p.failing[server.Host]
	if advice.ConsecutiveFailures++; advice.ConsecutiveFailures == 1 {
		advice.SinceMS = time.Now().UnixMilli()
	}
	advice.LastError = failure.Error()
	p.failing[server.Host] = advice
	return nil
}

// checkLive sends a liveness probe to a server, and returns an error if the probe fails.
func checkLive(ctx context.Context, c *http.Client, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health/live", nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError { // 404: probes are disabled in its settings, but it is alive
		return fmt.Errorf("answers %d", resp.StatusCode)
	}
	return nil
}

// publish writes the advice if the set of failing servers has changed. Further failures of the same
// servers cause no write.
func (p *prober) publish(ctx context.Context) error {
	advice := maps.Clone(p.failing)
	maps.DeleteFunc(advice, func(_ string, a HealthAdvice) bool { return a.ConsecutiveFailures < p.config.Failures })
	hosts := slices.Sorted(maps.Keys(advice))
	if p.hasPublished && slices.Equal(hosts, p.publishedHosts) {
		return nil
	}
	text, err := json.Marshal(advice)
	if err != nil {
		return fmt.Errorf("health advice: %w", err)
	}
	if p.recordVersion, err = p.registry.Put(ctx, HealthRecordKey(p.shard), text, &p.recordVersion); err != nil {
		return fmt.Errorf("health advice: %w", err)
	}
	p.publishedHosts, p.hasPublished = hosts, true
	slog.Info("controller: health advice changed", "lease", p.handle.LeaseName(), "token", p.handle.Token(), "failing", hosts)
	return nil
}
