package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/counters"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/outcome"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// MetricsExporter takes what is measured of a sidecar and serves it. Its methods may be called
// concurrently; Answered is called by the loop and must not wait.
type MetricsExporter interface {
	// RecordRequest takes a request's end.
	RecordRequest(class, tenant, outcome string, took time.Duration)
	// Serve answers for metrics on ln until ctx ends, taking the state at each
	// scrape from state.
	Serve(ctx context.Context, ln net.Listener, state func(context.Context) (Status, error)) error
}

// Status is how a sidecar stands at a moment.
type Status struct {
	OpenRequests             int // requests
	Bulkheads                []Bulkhead
	Endpoints                map[string]map[string]int // by zone and health: how many are listed
	EndpointListAge          time.Duration             // since the last news of the list
	Decided                  policy.Counters
	ClientConnections        map[string]float64 // connections, by state
	UpstreamConnections      map[string]float64
	ClientConnectionEvents   map[string]float64 // what was counted of connections so far
	UpstreamConnectionEvents map[string]float64
	Gate                     gate.Counters            // what may be done now, and what was done past it
	FleetPolicy              *policyfollower.Status   // nil where the configuration names none
	Congestion               float64                  // what answers took of their aims lately
	OverloadAdvice           *overloadreporter.Status // the fleet's on an overload; nil where the configuration names none
}

// Bulkhead is the state of one tenant's.
type Bulkhead struct {
	Tenant               string
	SlotsFree, QueueFree int
}

// statusRequested is the event that asks the loop for its part of the state.
type statusRequested struct{ state chan<- Status }

var errEnded = errors.New("the sidecar has ended")

// requestStatus asks the loop how things stand.
func (l *eventLoop) requestStatus(ctx context.Context) (Status, error) {
	answer := make(chan Status, 1)
	select {
	case l.events <- statusRequested{answer}:
	case <-l.lifetime.Done():
		return Status{}, errEnded
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
	select {
	case s := <-answer:
		return s, nil
	case <-l.lifetime.Done():
		return Status{}, errEnded
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// status is the loop's part of the state.
func (l *eventLoop) status() Status {
	s := Status{OpenRequests: len(l.requests), Gate: l.gate.Counters(), Congestion: l.balancer.Congestion(l.now), Decided: l.balancer.Counters(), Endpoints: make(map[string]map[string]int)}
	if l.listUpdatedAt > 0 {
		s.EndpointListAge = l.now - l.listUpdatedAt
	}
	if l.policyStatus != nil {
		p := l.policyStatus()
		s.FleetPolicy = &p
	}
	if l.adviceStatus != nil {
		w := l.adviceStatus()
		s.OverloadAdvice = &w
	}
	for i, name := range l.tenantNames() {
		s.Bulkheads = append(s.Bulkheads, Bulkhead{name, l.balancer.SlotsFree(i), l.balancer.QueueFree(i)})
	}
	for _, h := range l.endpoints {
		zone := s.Endpoints[h.entry.Site]
		if zone == nil {
			zone = make(map[string]int)
			s.Endpoints[h.entry.Site] = zone
		}
		zone[h.entry.Health]++
	}
	return s
}

// tenantNames are the names of the compartments.
func (l *eventLoop) tenantNames() []string {
	if len(l.config.Tenants) == 0 {
		return []string{""}
	}
	return l.config.Tenants
}

// recordEnd tells meter and log of a request's end.
func (l *eventLoop) recordEnd(r *request, o outcome.Outcome) {
	if l.exporter == nil && !l.traceRequests {
		return
	}
	took := time.Since(r.receivedAt)
	class, tenant := l.config.Classes[r.class], l.tenantNames()[r.tenant]
	if l.exporter != nil {
		l.exporter.RecordRequest(class, tenant, o.Label(), took)
	}
	if l.traceRequests {
		slog.Debug("request ended", "request", r.ID, "class", class, "tenant", tenant, "outcome", o.Label(), "attempts", len(r.attempts), "took", took)
	}
}

// traceAttempt logs the end of an attempt, with its request's id.
func (l *eventLoop) traceAttempt(a *attempt, end policy.Ending) {
	if !l.traceRequests {
		return
	}
	host := ""
	if a.host != nil {
		host = a.host.entry.Host
	}
	slog.Debug("attempt ended", "request", a.req.ID, "attempt", a.number, "host", host, "ending", endingNames[end], "took", time.Since(a.startedAt))
}

// endingNames are the module's endings in words.
var endingNames = map[policy.Ending]string{
	policy.Served: "served", policy.Errored: "error", policy.Rejected: "turned away", policy.TimedOut: "timed out",
	policy.NoConnection: "no connection", policy.Broken: "broken", policy.Cancelled: "called off", policy.NotSent: "not sent",
}

// serveMetrics serves metrics where the configuration names an address for them.
func serveMetrics(ctx context.Context, c *config.Config, l *eventLoop, listener *limitedListener, p *upstream.Pool) (run func(), err error) {
	if l.exporter == nil {
		return nil, nil
	}
	ln, err := net.Listen("tcp", c.Metrics.Listen)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	state := func(ctx context.Context) (Status, error) {
		s, err := l.requestStatus(ctx)
		if err != nil {
			return s, err
		}
		count, now := listener.counters()
		s.ClientConnectionEvents, s.ClientConnections = counters.Values(count), counters.Values(now)
		poolCount, poolNow := p.Counters()
		s.UpstreamConnectionEvents, s.UpstreamConnections = counters.Values(poolCount), counters.Values(poolNow)
		return s, nil
	}
	return func() {
		if err := l.exporter.Serve(ctx, ln, state); err != nil {
			slog.Error("metrics", "err", err)
		}
	}, nil
}

// DecisionCounts are the module's counters by name.
func (s Status) DecisionCounts() map[string]float64 { return counters.Values(s.Decided) }
