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

// healthShards is into how many tasks the checking of booking servers is cut: enough
// that a handful of keepers have even parts.
const healthShards = 8

// HealthAdvice is what the checker says of one booking server. It removes nothing: who reads
// it decides.
type HealthAdvice struct {
	ConsecutiveFailures int    `json:"failures"` // probes in a row
	SinceMS             int64  `json:"since_ms"` // the first of them
	LastError           string `json:"said"`     // what the last one met
}

// HealthRecordKey is the record that holds a shard's advice, by host. One without advice is well.
func HealthRecordKey(shard int) string { return fmt.Sprint("health:", shard) }

// healthTask probes the booking servers of one shard. A probe is a timed act: one too many
// costs a server a fifth of a millisecond.
type healthTask struct {
	config          HealthConfig
	client          *client.Client
	fleet           *fleetView
	shard           int
	probedOutOfTurn map[string]bool // out of turn, for a word that lasts still
}

func (h *healthTask) leaseName() string { return fmt.Sprintf("health-%d", h.shard) }

func (h *healthTask) ownsServer(host string) bool {
	return xxhash.Sum64String(host)%healthShards == uint64(h.shard)
}

func (h *healthTask) run(ctx context.Context, term *lease.Handle) error {
	timeout := time.Duration(h.config.TimeoutMS) * time.Millisecond
	every := time.Duration(h.config.IntervalMS) * time.Millisecond
	c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r := fencedRegistry{h.client, term}
	failing := make(map[string]HealthAdvice)
	h.probedOutOfTurn = make(map[string]bool)
	written := ""
	// Each write names the version that it replaces: one that is repeated late would
	// take back what came after it.
	var version uint64
	if was, err := r.Record(ctx, HealthRecordKey(h.shard)); err == nil {
		version = was.Version
	} else if !errors.Is(err, registry.ErrNotFound) {
		return fmt.Errorf("advice: %w", err)
	}
	look := func(e registry.Registration) error {
		var met error
		if err := term.Do(ctx, timeout, func(ctx context.Context) error { met = probe(ctx, c, e.Dial); return nil }); err != nil {
			return err
		}
		if met == nil || ctx.Err() != nil {
			delete(failing, e.Host)
			return nil
		}
		a := failing[e.Host]
		if a.ConsecutiveFailures++; a.ConsecutiveFailures == 1 {
			a.SinceMS = time.Now().UnixMilli()
		}
		a.LastError = met.Error()
		failing[e.Host] = a
		return nil
	}
	for {
		began := time.Now()
		list, err := r.Registrations(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			slog.Warn("health: the list cannot be read", "lease", term.LeaseName(), "err", err)
		}
		list.Registrations = slices.DeleteFunc(list.Registrations, func(e registry.Registration) bool { return !h.ownsServer(e.Host) })
		maps.DeleteFunc(failing, func(host string, _ HealthAdvice) bool {
			return err == nil && !slices.ContainsFunc(list.Registrations, func(e registry.Registration) bool { return e.Host == host })
		})
		for i, e := range list.Registrations {
			// Spread over the whole time, so that no two servers are asked at once.
			if err := h.wait(ctx, began.Add(every*time.Duration(i)/time.Duration(len(list.Registrations))), list.Registrations, look); err != nil {
				return err
			}
			if err := look(e); err != nil {
				return err
			}
		}
		advice := maps.Clone(failing)
		maps.DeleteFunc(advice, func(_ string, a HealthAdvice) bool { return a.ConsecutiveFailures < h.config.Failures })
		if text, key := h.encodeAdvice(advice); key != written {
			if version, err = r.Put(ctx, HealthRecordKey(h.shard), text, &version); err != nil {
				return fmt.Errorf("advice: %w", err)
			}
			written = key
			slog.Info("health: advice", "lease", term.LeaseName(), "token", term.Token(), "failing", slices.Sorted(maps.Keys(advice)))
		}
		if err := h.wait(ctx, began.Add(every), list.Registrations, look); err != nil {
			return err
		}
	}
}

// suspicionPollInterval is between two looks for a reason to probe out of turn.
const suspicionPollInterval = 250 * time.Millisecond

// wait waits for a server's turn. Meanwhile servers that some member of the fleet has not
// heard from are looked at out of turn, each once as long as that word lasts.
func (h *healthTask) wait(ctx context.Context, until time.Time, all []registry.Registration, look func(registry.Registration) error) error {
	found := func(host string) (registry.Registration, bool) {
		i := slices.IndexFunc(all, func(e registry.Registration) bool { return e.Host == host })
		if i < 0 {
			return registry.Registration{}, false
		}
		return all[i], true
	}
	for left := time.Until(until); left > 0; left = time.Until(until) {
		if err := pause(ctx, min(left, suspicionPollInterval)); err != nil {
			return err
		}
		reasons := h.fleet.suspectedServers()
		maps.DeleteFunc(h.probedOutOfTurn, func(host string, _ bool) bool { return !slices.Contains(reasons, host) })
		for _, host := range reasons {
			if !h.ownsServer(host) || h.probedOutOfTurn[host] {
				continue
			}
			h.probedOutOfTurn[host] = true
			e, ok := found(host)
			if !ok { // it may have come since the list was read
				if list, err := h.client.Registrations(ctx); err == nil {
					all = list.Registrations
				}
				if e, ok = found(host); !ok {
					continue
				}
			}
			slog.Info("health: a member does not hear from a server", "host", host, "lease", h.leaseName())
			if err := look(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// encodeAdvice is the advice to be written, and what of it tells it from other advice: not how
// often a server has failed since, which would be a write each time.
func (h *healthTask) encodeAdvice(advice map[string]HealthAdvice) (text []byte, key string) {
	text, err := json.Marshal(advice)
	if err != nil {
		panic(fmt.Sprintf("keeper: advice that cannot be written: %v", err)) // numbers and texts can
	}
	return text, fmt.Sprint(slices.Sorted(maps.Keys(advice)))
}

// probe asks a server whether it is there.
func probe(ctx context.Context, c *http.Client, dial string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+dial+"/health/live", nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode >= 500 { // 404: its settings allow no probes, and it is there
		return fmt.Errorf("answers %d", resp.StatusCode)
	}
	return nil
}
