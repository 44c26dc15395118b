package metrics

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
)

// namespace prefixes the metric names.
const namespace = "barleywick_"

// statusTimeout limits how long a scrape waits for the event loop, which may be busy with requests.
const statusTimeout = time.Second

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(namespace+name, help, labels, nil)
}

var (
	descOpenRequests   = newDesc("requests_open", "Requests in progress.")
	descSlotsFree      = newDesc("compartment_slots_free", "Free slots of a tenant's bulkhead.", "tenant")
	descQueueFree      = newDesc("compartment_queue_free", "Free queue places of a tenant's bulkhead.", "tenant")
	descEndpoints      = newDesc("servers", "Booking servers of the endpoint list.", "zone", "health")
	descListAge        = newDesc("list_age_seconds", "Time since the last message of the endpoint list.")
	descWatchOpen      = newDesc("discovery_watch_open", "1 while a watch of the endpoint list is open, 0 while there is none.")
	descWithoutWatch   = newDesc("discovery_without_watch_seconds", "Time since the last watch of the endpoint list ended; 0 while one is open.")
	descListConfirmed  = newDesc("list_confirmed_age_seconds", "Time since the last list, change or heartbeat.")
	descDecisions      = newDesc("decisions_total", "What the balancer decided, by its counters' names.", "what")
	descConnections    = newDesc("connections", "Connections, by side and state.", "side", "state")
	descConnEvents     = newDesc("connection_events_total", "What was counted of connections, by side and by its counters' names.", "side", "what")
	descGateDecisions  = newDesc("gate_decisions_total", "What the gate decided, by action and reason.", "decision")
	descGateViolations = newDesc("gate_violations_total", "Rules that were broken although the gate was asked.", "rule")
	descPolicyEpoch    = newDesc("policy_epoch", "Epoch of the fleet policy in force.")
	descPolicyJoint    = newDesc("policy_joint", "The rollout that the policy in force is acted by jointly with; 0: none.")
	descPolicyOpen     = newDesc("policy_open", "1 while new requests are admitted, 0 while the fleet policy forbids it.")
	descCongestion     = newDesc("jam", "Congestion: the share of their objective that responses took lately, over all servers.")
	descAdviceInForce  = newDesc("overload_heard", "1 while overload advice is in force, 0 while there is none.")
	descAdviceToken    = newDesc("overload_token", "Fencing token of the latest overload advice.")
	descAdvicePart     = newDesc("overload_part", "Part of a tenant's new requests that the advice in force admits.", "tenant")
	descStatusRead     = newDesc("state_read", "1 if the status was read for this scrape, 0 if the sidecar was too busy.")
)

// descriptions lists all metrics that are collected from the status.
var descriptions = []*prometheus.Desc{
	descOpenRequests, descSlotsFree, descQueueFree, descEndpoints, descListAge, descWatchOpen, descWithoutWatch, descListConfirmed,
	descDecisions, descConnections, descConnEvents,
	descGateDecisions, descGateViolations, descPolicyEpoch, descPolicyJoint, descPolicyOpen, descCongestion,
	descAdviceInForce, descAdviceToken, descAdvicePart, descStatusRead,
}

// statusCollector reads the sidecar's status at each scrape and collects metrics from it.
type statusCollector struct {
	ctx    context.Context // of the metrics server
	status func(context.Context) (sidecar.Status, error)
}

// Describe sends the descriptions of all metrics.
func (c *statusCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range descriptions {
		out <- d
	}
}

// Collect reads the status and sends its metrics.
func (c *statusCollector) Collect(out chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(c.ctx, statusTimeout)
	defer cancel()
	status, err := c.status(ctx)
	m := metricSender(out)
	if err != nil {
		m.gauge(descStatusRead, 0)
		return
	}
	m.gauge(descStatusRead, 1)
	m.gauge(descOpenRequests, float64(status.OpenRequests))
	m.gauge(descListAge, status.EndpointListAge.Seconds())
	m.sendDiscovery(status.Discovery)
	m.gauge(descCongestion, status.Congestion)
	m.sendFleetPolicy(status.FleetPolicy)
	m.sendOverloadAdvice(status.OverloadAdvice, status.Bulkheads)
	m.sendBulkheads(status.Bulkheads)
	m.sendEndpoints(status.Endpoints)
	m.sendConnections("clients", status.ClientConnections, status.ClientConnectionEvents)
	m.sendConnections("servers", status.UpstreamConnections, status.UpstreamConnectionEvents)
	m.sendCounts(descGateDecisions, status.Gate.Decided)
	m.sendCounts(descGateViolations, status.Gate.Violated)
	for name, n := range status.DecisionCounts() {
		m.count(descDecisions, n, name)
	}
}

// metricSender sends metrics to a scrape.
type metricSender chan<- prometheus.Metric

func (m metricSender) gauge(d *prometheus.Desc, value float64, labels ...string) {
	m <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func (m metricSender) count(d *prometheus.Desc, value float64, labels ...string) {
	m <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value, labels...)
}

// sendDiscovery sends the state of the watch of the endpoint list.
func (m metricSender) sendDiscovery(d *client.WatchStatus) {
	if d == nil {
		return
	}
	m.gauge(descListConfirmed, d.ListAge.Seconds())
	if d.Open {
		m.gauge(descWatchOpen, 1)
		m.gauge(descWithoutWatch, 0)
		return
	}
	m.gauge(descWatchOpen, 0)
	m.gauge(descWithoutWatch, d.For.Seconds())
}

func (m metricSender) sendFleetPolicy(p *policyfollower.Status) {
	if p == nil {
		return
	}
	m.gauge(descPolicyEpoch, float64(p.Epoch))
	m.gauge(descPolicyJoint, float64(p.JointChange))
	m.gauge(descPolicyOpen, oneIf(p.Admitting))
}

func (m metricSender) sendOverloadAdvice(a *overloadreporter.Status, bulkheads []sidecar.Bulkhead) {
	if a == nil {
		return
	}
	m.gauge(descAdviceInForce, oneIf(a.InForce()))
	m.gauge(descAdviceToken, float64(a.Advice.Token))
	for _, b := range bulkheads {
		part := 1.0
		if a.InForce() {
			part = a.Advice.FractionFor(b.Tenant)
		}
		m.gauge(descAdvicePart, part, b.Tenant)
	}
}

func (m metricSender) sendBulkheads(bulkheads []sidecar.Bulkhead) {
	for _, b := range bulkheads {
		m.gauge(descSlotsFree, float64(b.SlotsFree), b.Tenant)
		m.gauge(descQueueFree, float64(b.QueueFree), b.Tenant)
	}
}

func (m metricSender) sendEndpoints(endpoints map[string]map[string]int) {
	for zone, byHealth := range endpoints {
		for health, n := range byHealth {
			m.gauge(descEndpoints, float64(n), zone, health)
		}
	}
}

func (m metricSender) sendConnections(side string, states, events map[string]float64) {
	for name, n := range states {
		m.gauge(descConnections, n, side, name)
	}
	for name, n := range events {
		m.count(descConnEvents, n, side, name)
	}
}

func (m metricSender) sendCounts(d *prometheus.Desc, counts map[string]uint64) {
	for name, n := range counts {
		m.count(d, float64(n), name)
	}
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
