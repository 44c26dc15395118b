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
	// healthShards is into how many tasks the health checks of booking servers are divided:
	// enough that a handful of controllers have even parts.
	healthShards = 8
	// suspicionPollInterval is between two checks for a reason to probe out of turn.
	suspicionPollInterval = 250 * time.Millisecond
)

// HealthAdvice is what the health check says of one booking server. It removes nothing: who
// reads it decides.
type HealthAdvice struct {
	ConsecutiveFailures int    `json:"failures"` // of probes
	SinceMS             int64  `json:"since_ms"` // the time of the first of them, in Unix milliseconds
	LastError           string `json:"said"`     // of the last probe
}

// HealthRecordKey is the registry's record that holds a shard's advice, by host. A server
// without advice is healthy.
func HealthRecordKey(shard int) string { return fmt.Sprint("health:", shard) }

// healthTask probes the booking servers of one shard. A probe is a timed act: one too many
// costs a server a fifth of a millisecond.
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
		if err := p.round(ctx); err != nil {
			return err
		}
	}
}

// prober is a health task while its lease is held.
type prober struct {
	*healthTask
	handle            *lease.Handle
	registry          fencedRegistry
	http              *http.Client
	timeout, interval time.Duration

	failing      map[string]HealthAdvice // by host: servers whose last probe failed
	probedEarly  map[string]bool         // by host: while the suspicion lasts
	version      uint64                  // of the record
	published    []string                // the hosts that the record names
	hasPublished bool
}

// readVersion reads which version the first write replaces. Each write names that version, since
// one that is repeated late must not replace what came after it.
func (p *prober) readVersion(ctx context.Context) error {
	current, err := p.registry.Record(ctx, HealthRecordKey(p.shard))
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		return fmt.Errorf("advice: %w", err)
	}
	p.version = current.Version
	return nil
}

// round probes each server of the shard once, and publishes the advice.
func (p *prober) round(ctx context.Context) error {
	began := time.Now()
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
		turn := began.Add(p.interval * time.Duration(i) / time.Duration(len(servers)))
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
	return p.wait(ctx, began.Add(p.interval), servers)
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

// wait waits until a time. Meanwhile it probes servers out of turn that some member of the fleet
// got no answer from, each once while that suspicion lasts.
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

// probeSuspected probes a server out of turn. If it is not among the known servers, it reads
// them again, and returns them.
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

// probe probes a server, and notes whether it fails. It returns an error if the lease does not
// allow the probe.
func (p *prober) probe(ctx context.Context, server registry.Registration) error {
	var failure error
	err := p.handle.Do(ctx, p.timeout, func(ctx context.Context) error {
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

// checkLive asks a server whether it is alive.
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
	if resp.StatusCode >= http.StatusInternalServerError { // 404: its settings allow no probes, but it is alive
		return fmt.Errorf("answers %d", resp.StatusCode)
	}
	return nil
}

// publish writes the advice if it names other servers than before. A further failure of the same
// servers is no reason for a write.
func (p *prober) publish(ctx context.Context) error {
	advice := maps.Clone(p.failing)
	maps.DeleteFunc(advice, func(_ string, a HealthAdvice) bool { return a.ConsecutiveFailures < p.config.Failures })
	hosts := slices.Sorted(maps.Keys(advice))
	if p.hasPublished && slices.Equal(hosts, p.published) {
		return nil
	}
	text, err := json.Marshal(advice)
	if err != nil {
		return fmt.Errorf("advice: %w", err)
	}
	if p.version, err = p.registry.Put(ctx, HealthRecordKey(p.shard), text, &p.version); err != nil {
		return fmt.Errorf("advice: %w", err)
	}
	p.published, p.hasPublished = hosts, true
	slog.Info("controller: health advice changed", "lease", p.handle.LeaseName(), "token", p.handle.Token(), "failing", hosts)
	return nil
}
