// Package overloadreporter is the sidecar's part that reports its requests to the fleet's overload
// controller and takes shedding advice from it. docs/OVERLOAD.md describes both.
package overloadreporter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/overload"
	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar/config"
	"barleywick/policy"
)

// callTimeout is for one digest and the advice that answers it: the next digest is due soon after.
const callTimeout = 800 * time.Millisecond

// Sidecar is what the reporter needs of the sidecar that it reports for.
type Sidecar interface {
	// OverloadDigest returns the congestion and what was counted since the last call. It fails
	// if the sidecar or ctx ends.
	OverloadDigest(ctx context.Context) (overload.Digest, error)
	// ApplyAdvice puts advice into force.
	ApplyAdvice(policy.OverloadAdvice)
}

// Reporter exchanges digests for advice once a second. Whatever fails, the sidecar goes on by what
// it sees itself: the advice that it has fades. Its methods may be called concurrently, Run once.
type Reporter struct {
	fleet       string
	name        string
	incarnation uint64
	startedAt   time.Time
	tenants     []string
	sidecar     Sidecar
	registry    *client.Client
	controller  *http.Client
	address     string // of the controller; empty: not known
	sequence    uint64 // of the last digest
	filter      overload.AdviceFilter

	mu         sync.Mutex
	advice     overload.Advice
	receivedAt time.Time // when the advice came
	lastError  error     // of the last exchange; nil: it succeeded
}

// New makes the reporter of a sidecar whose configuration names where overload advice comes from.
func New(c *config.Config, tenants []string, s Sidecar) (*Reporter, error) {
	registryClient, err := client.New(c.Overload.Registry, c.Seed)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	return &Reporter{
		fleet: c.Overload.Fleet, name: c.Name, incarnation: uint64(startedAt.UnixMicro()), startedAt: startedAt,
		tenants: tenants, sidecar: s,
		registry: registryClient.WithAddressMap(c.Overload.AddressMap).WithTimeout(callTimeout),
		controller: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext: c.Overload.AddressMap.Dialer(callTimeout), MaxConnsPerHost: 1, DisableCompression: true,
		}},
		filter: overload.AdviceFilter{Fleet: c.Overload.Fleet},
	}, nil
}

// Run exchanges digests for advice until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	defer r.registry.Close()
	defer r.controller.CloseIdleConnections()
	last := r.startedAt
	for {
		select {
		case <-time.After(jittered(overload.ReportInterval)):
		case <-ctx.Done():
			return
		}
		digest, err := r.sidecar.OverloadDigest(ctx)
		if err != nil {
			return
		}
		now := time.Now()
		r.complete(&digest, now.Sub(last))
		last = now
		err = r.exchange(ctx, digest)
		previous := r.setLastError(err)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && previous == nil:
			slog.Warn("overload: advice lost, shedding by own congestion alone", "err", err)
		case err == nil && previous != nil:
			slog.Info("overload: advice received again")
		}
	}
}

// jittered spreads an interval: the controller must not be called by all sidecars at once.
func jittered(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
}

// complete fills in whose digest it is, and over which time.
func (r *Reporter) complete(d *overload.Digest, period time.Duration) {
	r.sequence++
	d.Fleet, d.Name, d.Incarnation, d.Seq = r.fleet, r.name, r.incarnation, r.sequence
	d.PeriodMS = max(1, period.Milliseconds())
}

func (r *Reporter) setLastError(err error) (previous error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, r.lastError = r.lastError, err
	return previous
}

// exchange sends a digest and puts the advice that answers it into force.
func (r *Reporter) exchange(ctx context.Context, d overload.Digest) error {
	if r.address == "" {
		address, err := r.findController(ctx)
		if err != nil {
			return fmt.Errorf("where the task listens: %w", err)
		}
		r.address = address
	}
	advice, err := r.post(ctx, d)
	if err != nil {
		r.address = "" // another process may hold the lease by now
		return err
	}
	if err := r.filter.Accept(advice); err != nil {
		return err
	}
	r.mu.Lock()
	r.advice, r.receivedAt = advice, time.Now()
	r.mu.Unlock()
	r.sidecar.ApplyAdvice(r.forBalancer(advice))
	return nil
}

// findController reads from the registry where the controller listens.
func (r *Reporter) findController(ctx context.Context) (string, error) {
	record, err := r.registry.Record(ctx, overload.RecordKey)
	if err != nil {
		return "", err
	}
	var location overload.Location
	if err := json.Unmarshal(record.Value, &location); err != nil {
		return "", err
	}
	if host, _, err := net.SplitHostPort(location.Address); err != nil || !net.ParseIP(host).IsLoopback() {
		return "", fmt.Errorf("%.64q is no loopback address with a port", location.Address)
	}
	return location.Address, nil
}

// post sends a digest to the controller.
func (r *Reporter) post(ctx context.Context, d overload.Digest) (advice overload.Advice, err error) {
	text, err := json.Marshal(d)
	if err != nil {
		return advice, fmt.Errorf("write digest: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+overload.Path, bytes.NewReader(text))
	if err != nil {
		return advice, err
	}
	resp, err := r.controller.Do(req)
	if err != nil {
		return advice, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, overload.MaxMessageBytes))
	switch {
	case err != nil:
		return advice, err
	case resp.StatusCode != http.StatusOK:
		return advice, fmt.Errorf("%s answers %d: %.200s", r.address, resp.StatusCode, bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, &advice); err != nil {
		return advice, fmt.Errorf("%s: %w", r.address, err)
	}
	return advice, nil
}

// forBalancer turns advice into that for this sidecar's tenants.
func (r *Reporter) forBalancer(a overload.Advice) policy.OverloadAdvice {
	shares := make([]float64, len(r.tenants))
	for i, name := range r.tenants {
		shares[i] = a.FractionFor(name)
	}
	return policy.OverloadAdvice{AdmittedShares: shares, ValidFor: time.Duration(a.ValidMS) * time.Millisecond}
}
