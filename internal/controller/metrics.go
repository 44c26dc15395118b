package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"barleywick/internal/membership"
	"barleywick/internal/membership/gossip"
)

var (
	descToken  = prometheus.NewDesc("barleykeeper_lease_token", "Fencing token of each lease that this controller holds.", []string{"lease"}, nil)
	descGrants = prometheus.NewDesc("barleykeeper_lease_grants_total", "Leases granted to this controller.", nil, nil)
	descLapses = prometheus.NewDesc("barleykeeper_lease_lapses_total", "Leases that lapsed while their task ran.", nil, nil)
)

// leaseCollector collects metrics of a controller's leases.
type leaseCollector struct{ controller *Controller }

// Describe sends the descriptions of the metrics.
func (l leaseCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- descToken
	descs <- descGrants
	descs <- descLapses
}

// Collect sends the metrics.
func (l leaseCollector) Collect(metrics chan<- prometheus.Metric) {
	for name, token := range l.controller.HeldTokens() {
		metrics <- prometheus.MustNewConstMetric(descToken, prometheus.GaugeValue, float64(token), name)
	}
	grants, lapses := l.controller.leases.Counts()
	metrics <- prometheus.MustNewConstMetric(descGrants, prometheus.CounterValue, float64(grants))
	metrics <- prometheus.MustNewConstMetric(descLapses, prometheus.CounterValue, float64(lapses))
}

var (
	descMembers     = prometheus.NewDesc("barleywick_members", "Members of the fleet by status, as this process sees them.", []string{"status"}, nil)
	descMinority    = prometheus.NewDesc("barleywick_members_minority", "1 while more than half of the members are lost.", nil, nil)
	descDiffer      = prometheus.NewDesc("barleywick_members_differ", "Members that were heard of lately and see another fleet.", nil, nil)
	descSent        = prometheus.NewDesc("barleywick_members_sent_bytes_total", "Bytes sent to other members.", nil, nil)
	descSuspected   = prometheus.NewDesc("barleywick_members_suspected_total", "Members that did not answer this process.", nil, nil)
	descUnreachable = prometheus.NewDesc("barleywick_members_lost_total", "Members given up for their silence.", nil, nil)
	descRefused     = prometheus.NewDesc("barleywick_members_refused_total", "Messages that could not be read, and connections beyond the limit.", nil, nil)
)

// membershipCollector collects metrics of a member of the fleet.
type membershipCollector struct{ node *gossip.Node }

// Describe sends the descriptions of the metrics.
func (m membershipCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descMembers, descMinority, descDiffer, descSent, descSuspected, descUnreachable, descRefused} {
		descs <- d
	}
}

// Collect sends the metrics.
func (m membershipCollector) Collect(metrics chan<- prometheus.Metric) {
	view, stats := m.node.View(), m.node.Stats()
	counts := make(map[membership.Status]int)
	for _, member := range view.Members {
		counts[member.Status]++
	}
	for _, status := range []membership.Status{
		membership.StatusPresent, membership.StatusSuspected, membership.StatusUnreachable,
		membership.StatusLeft, membership.StatusEnded, membership.StatusReplaced,
	} {
		metrics <- prometheus.MustNewConstMetric(descMembers, prometheus.GaugeValue, float64(counts[status]), string(status))
	}
	minority := 0.0
	if view.Minority {
		minority = 1
	}
	metrics <- prometheus.MustNewConstMetric(descMinority, prometheus.GaugeValue, minority)
	metrics <- prometheus.MustNewConstMetric(descDiffer, prometheus.GaugeValue, float64(len(view.DifferingPeers)))
	for _, counter := range []struct {
		desc  *prometheus.Desc
		value uint64
	}{
		{descSent, stats.BytesSent},
		{descSuspected, stats.Suspicions},
		{descUnreachable, stats.Unreachable},
		{descRefused, stats.MalformedMessages + stats.RefusedStreams},
	} {
		metrics <- prometheus.MustNewConstMetric(counter.desc, prometheus.CounterValue, float64(counter.value))
	}
}
