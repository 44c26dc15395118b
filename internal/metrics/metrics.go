// Package metrics serves a sidecar's figures in Prometheus' form. docs/METRICS.md
// lists them.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"barleywick/internal/sidecar"
)

const (
	// stateIn is how long a scrape waits for the loop, which has requests to see to.
	stateIn = time.Second
	// scrapes at once are few: each holds the text of all figures.
	scrapes = 4
	callIn  = 5 * time.Second
	maxHead = 8 << 10
)

// Exporter are one sidecar's figures.
type Exporter struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// New makes the figures of a sidecar that starts.
func New() *Exporter {
	m := &Exporter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "barleywick_requests_total", Help: "Requests that have ended, by what their client got.",
		}, []string{"class", "tenant", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "barleywick_request_duration_seconds", Help: "Time from reading a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14), // 1 ms to 8 s: deadlines are some seconds
		}, []string{"class", "outcome"}),
	}
	m.registry.MustRegister(m.requests, m.latency, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// RecordRequest takes a request's end.
func (m *Exporter) RecordRequest(class, tenant, outcome string, took time.Duration) {
	m.requests.WithLabelValues(class, tenant, outcome).Inc()
	m.latency.WithLabelValues(class, outcome).Observe(took.Seconds())
}

// Serve answers for metrics until ctx ends.
func (m *Exporter) Serve(ctx context.Context, ln net.Listener, state func(context.Context) (sidecar.Status, error)) error {
	m.registry.MustRegister(&standing{ctx, state})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: scrapes, ErrorHandling: promhttp.ContinueOnError}))
	s := &http.Server{Handler: mux, ReadTimeout: callIn, WriteTimeout: callIn, IdleTimeout: callIn, MaxHeaderBytes: maxHead}
	closed := context.AfterFunc(ctx, func() { _ = s.Close() }) // a scrape under way is of no use any more
	defer closed()
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}

// standing tells how the sidecar stands at the moment of a scrape.
type standing struct {
	ctx   context.Context // of the server
	state func(context.Context) (sidecar.Status, error)
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("barleywick_"+name, help, labels, nil)
}

var (
	descOpen    = desc("requests_open", "Requests that are held.")
	descSlots   = desc("compartment_slots_free", "Free slots of a tenant's compartment.", "tenant")
	descQueue   = desc("compartment_queue_free", "Free queue places of a tenant's compartment.", "tenant")
	descServers = desc("servers", "Booking servers on the list.", "zone", "health")
	descAge     = desc("list_age_seconds", "Time since the last news of the list.")
	descDecided = desc("decisions_total", "What the decision module did, by its counters' names.", "what")
	descConns   = desc("connections", "Connections, by side and state.", "side", "state")
	descEvents  = desc("connection_events_total", "What was counted of connections, by side and by its counters' names.", "side", "what")
	descGate    = desc("gate_decisions_total", "What the gate decided, by act and reason.", "decision")
	descBroken  = desc("gate_violations_total", "Rules that were broken although the gate was asked.", "rule")
	descEpoch   = desc("policy_epoch", "Epoch of the fleet's policy that is acted by.")
	descJoint   = desc("policy_joint", "The change with which the policy in force is acted by jointly; 0: none.")
	descTakes   = desc("policy_open", "1 while new requests are taken, 0 while the policy forbids it.")
	descJam     = desc("jam", "What answers took of their aims lately, over all servers.")
	descHeard   = desc("overload_heard", "1 while a word of the fleet's on an overload is in force, 0 while there is none.")
	descToken   = desc("overload_token", "Fencing token under which the latest word was given.")
	descPart    = desc("overload_part", "Part of a tenant's new requests that the word in force lets be tried.", "tenant")
	descState   = desc("state_read", "1 if the state was read for this scrape, 0 if the sidecar was too busy.")
)

// Describe names the figures.
func (s *standing) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descOpen, descSlots, descQueue, descServers, descAge, descDecided, descConns, descEvents, descGate, descBroken, descEpoch, descJoint, descTakes, descJam, descHeard, descToken, descPart, descState} {
		c <- d
	}
}

// Collect reads them.
func (s *standing) Collect(c chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(s.ctx, stateIn)
	defer cancel()
	state, err := s.state(ctx)
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	count := func(d *prometheus.Desc, v float64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	if err != nil {
		gauge(descState, 0)
		return
	}
	gauge(descState, 1)
	gauge(descOpen, float64(state.OpenRequests))
	gauge(descAge, state.EndpointListAge.Seconds())
	if p := state.FleetPolicy; p != nil {
		gauge(descEpoch, float64(p.Epoch))
		gauge(descJoint, float64(p.JointChange))
		open := 0.0
		if p.Admitting {
			open = 1
		}
		gauge(descTakes, open)
	}
	gauge(descJam, state.Congestion)
	if w := state.OverloadAdvice; w != nil {
		heard := 0.0
		if w.InForce() {
			heard = 1
		}
		gauge(descHeard, heard)
		gauge(descToken, float64(w.Advice.Token))
		for _, k := range state.Bulkheads {
			part := 1.0
			if w.InForce() {
				part = w.Advice.FractionFor(k.Tenant)
			}
			gauge(descPart, part, k.Tenant)
		}
	}
	for _, k := range state.Bulkheads {
		gauge(descSlots, float64(k.SlotsFree), k.Tenant)
		gauge(descQueue, float64(k.QueueFree), k.Tenant)
	}
	for zone, byHealth := range state.Endpoints {
		for health, n := range byHealth {
			gauge(descServers, float64(n), zone, health)
		}
	}
	for side, states := range map[string]map[string]float64{"clients": state.ClientConnections, "servers": state.UpstreamConnections} {
		for name, n := range states {
			gauge(descConns, n, side, name)
		}
	}
	for side, events := range map[string]map[string]float64{"clients": state.ClientConnectionEvents, "servers": state.UpstreamConnectionEvents} {
		for name, n := range events {
			count(descEvents, n, side, name)
		}
	}
	for decision, n := range state.Gate.Decided {
		count(descGate, float64(n), decision)
	}
	for rule, n := range state.Gate.Violated {
		count(descBroken, float64(n), rule)
	}
	for what, n := range state.DecisionCounts() {
		count(descDecided, n, what)
	}
}
