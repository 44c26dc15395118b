package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar/counters"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// MetricsExporter records and serves the metrics of a sidecar. Its methods may be called concurrently.
type MetricsExporter interface {
	// RecordRequest records the end of a request. The event loop calls it: it must not block.
	RecordRequest(class, tenant, outcome string, took time.Duration)
	// Serve serves metrics on ln until ctx ends, and reads the status at each scrape.
	Serve(ctx context.Context, ln net.Listener, status func(context.Context) (Status, error)) error
}

// Status is a snapshot of a sidecar's state.
type Status struct {
	OpenRequests    int
	Bulkheads       []Bulkhead
	Endpoints       map[string]map[string]int // number of listed endpoints by zone and health
	EndpointListAge time.Duration             // since the last list message; 0: none received yet
	Discovery       *client.WatchStatus       // nil: unknown
	Decisions       policy.Counters
	Congestion      float64 // recent response times as a share of the latency objective

	// The current number of connections by state, and the event counters.
	ClientConnections        map[string]float64
	UpstreamConnections      map[string]float64
	ClientConnectionEvents   map[string]float64
	UpstreamConnectionEvents map[string]float64

	Gate           gate.Counters
	FleetPolicy    *policyfollower.Status   // nil: the configuration names no fleet policy
	OverloadAdvice *overloadreporter.Status // nil: the configuration names no overload advice
}

// Bulkhead is the free capacity of one tenant's bulkhead.
type Bulkhead struct {
	Tenant    string
	SlotsFree int
	QueueFree int
}

// DecisionCounts returns the balancer's counters by name.
func (s Status) DecisionCounts() map[string]float64 { return counters.Values(s.Decisions) }

// errLoopEnded is returned when the event loop has ended.
var errLoopEnded = errors.New("sidecar: event loop has ended")

// requestStatus requests the loop's part of the status.
func (l *eventLoop) requestStatus(ctx context.Context) (Status, error) {
	status := make(chan Status, 1)
	select {
	case l.events <- statusRequested{status}:
	case <-l.lifetime.Done():
		return Status{}, errLoopEnded
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
	select {
	case s := <-status:
		return s, nil
	case <-l.lifetime.Done():
		return Status{}, errLoopEnded
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// status returns the loop's part of the status.
func (l *eventLoop) status() Status {
	s := Status{
		OpenRequests: len(l.requests.byID), Endpoints: l.endpoints.countByHealth(),
		Decisions: l.balancer.Counters(), Congestion: l.balancer.Congestion(l.clock.now), Gate: l.gate.Counters(),
	}
	if l.endpoints.updatedAt > 0 {
		s.EndpointListAge = l.clock.now - l.endpoints.updatedAt
	}
	if l.discovery != nil {
		d := l.discovery()
		s.Discovery = &d
	}
	if l.fleet.policy != nil {
		p := l.fleet.policy.Status()
		s.FleetPolicy = &p
	}
	if l.fleet.overload != nil {
		a := l.fleet.overload.Status()
		s.OverloadAdvice = &a
	}
	for i, name := range tenantNames(l.config) {
		s.Bulkheads = append(s.Bulkheads, Bulkhead{Tenant: name, SlotsFree: l.balancer.SlotsFree(i), QueueFree: l.balancer.QueueFree(i)})
	}
	return s
}

// countByHealth counts the endpoints by zone and health.
func (t *endpointTable) countByHealth() map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, e := range t.byName {
		zone := counts[e.entry.Site]
		if zone == nil {
			zone = make(map[string]int)
			counts[e.entry.Site] = zone
		}
		zone[e.entry.Health]++
	}
	return counts
}

// statusReader reads the status of all components.
type statusReader struct {
	loop     *eventLoop
	listener *limitedListener
	pool     *upstream.Pool
}

func (r *statusReader) read(ctx context.Context) (Status, error) {
	s, err := r.loop.requestStatus(ctx)
	if err != nil {
		return s, err
	}
	clientEvents, clientState := r.listener.counters()
	s.ClientConnectionEvents, s.ClientConnections = counters.Values(clientEvents), counters.Values(clientState)
	upstreamEvents, upstreamState := r.pool.Counters()
	s.UpstreamConnectionEvents, s.UpstreamConnections = counters.Values(upstreamEvents), counters.Values(upstreamState)
	return s, nil
}

// serveMetrics serves metrics on a listener until ctx ends.
func serveMetrics(ctx context.Context, e MetricsExporter, ln net.Listener, status *statusReader) {
	if err := e.Serve(ctx, ln, status.read); err != nil {
		slog.Error("metrics: serving failed", "err", err)
	}
}
