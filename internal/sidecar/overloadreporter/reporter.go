// Package overloadreporter reports a sidecar's request counts to the fleet's overload controller and
// receives overload advice from it. docs/OVERLOAD.md describes both.
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

// callTimeout bounds the exchange of one digest for advice. It is shorter than the interval between digests.
const callTimeout = 800 * time.Millisecond

// Sidecar is the interface to the sidecar whose requests are reported.
type Sidecar interface {
	// OverloadDigest returns the congestion and the request counts since the previous call. It returns
	// an error if the sidecar stops or ctx is done.
	OverloadDigest(ctx context.Context) (overload.Digest, error)
	// ApplyAdvice makes the sidecar shed according to the advice.
	ApplyAdvice(policy.OverloadAdvice)
}

// Reporter sends a digest about once a second and receives advice in response. If that fails, the last
// advice expires and the sidecar sheds according to its local congestion only. Its methods may be
// called concurrently, except Run, which is called once.
type Reporter struct {
	fleet       string
	name        string
	incarnation uint64
	startedAt   time.Time
	tenants     []string
	sidecar     Sidecar
	registry    *client.Client
	controller  *http.Client
	address     string // of the controller; empty: unknown
	sequence    uint64 // of the last digest
	filter      overload.AdviceFilter

	mu         sync.Mutex
	advice     overload.Advice
	receivedAt time.Time // when the advice was received
	lastError  error     // of the last exchange; nil if it succeeded
}

// New returns a Reporter for a sidecar whose configuration has an overload table.
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

// Run sends digests and applies the advice received until ctx is done.
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
		r.setMetadata(&digest, now.Sub(last))
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

// jittered varies an interval by up to 10 % so that the sidecars do not call the controller simultaneously.
func jittered(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
}

// setMetadata sets the digest's fleet, sidecar, sequence number and period.
func (r *Reporter) setMetadata(d *overload.Digest, period time.Duration) {
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

// exchange sends a digest and applies the advice in the response.
func (r *Reporter) exchange(ctx context.Context, d overload.Digest) error {
	if r.address == "" {
		address, err := r.findController(ctx)
		if err != nil {
			return fmt.Errorf("find the overload controller: %w", err)
		}
		r.address = address
	}
	advice, err := r.post(ctx, d)
	if err != nil {
		r.address = "" // another controller may hold the lease by now
		return err
	}
	if err := r.filter.Accept(advice); err != nil {
		return err
	}
	r.mu.Lock()
	r.advice, r.receivedAt = advice, time.Now()
	r.mu.Unlock()
	r.sidecar.ApplyAdvice(r.balancerAdvice(advice))
	return nil
}

// findController looks up the controller's address in the registry.
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
		return "", fmt.Errorf("%.64q is not a loopback address with a port", location.Address)
	}
	return location.Address, nil
}

// post sends a digest to the controller and returns the advice in its response.
func (r *Reporter) post(ctx context.Context, d overload.Digest) (advice overload.Advice, err error) {
	text, err := json.Marshal(d)
	if err != nil {
		return advice, fmt.Errorf("encode digest: %w", err)
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
		return advice, fmt.Errorf("%s responded with status %d: %.200s", r.address, resp.StatusCode, bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, &advice); err != nil {
		return advice, fmt.Errorf("%s responded with malformed advice: %w", r.address, err)
	}
	return advice, nil
}

// balancerAdvice converts advice to the balancer's form, by this sidecar's tenant indexes.
func (r *Reporter) balancerAdvice(a overload.Advice) policy.OverloadAdvice {
	shares := make([]float64, len(r.tenants))
	for i, name := range r.tenants {
		shares[i] = a.FractionFor(name)
	}
	return policy.OverloadAdvice{AdmittedShares: shares, ValidFor: time.Duration(a.ValidMS) * time.Millisecond}
}
