package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"barleywick/internal/membership"
)

var (
	descMembers   = prometheus.NewDesc("barleywick_members", "Members of the fleet by status, as this process sees them.", []string{"status"}, nil)
	descMinority  = prometheus.NewDesc("barleywick_members_minority", "1 while more than half of the members are lost.", nil, nil)
	descDiffer    = prometheus.NewDesc("barleywick_members_differ", "Members that were heard of lately and see another fleet.", nil, nil)
	descSent      = prometheus.NewDesc("barleywick_members_sent_bytes_total", "Bytes sent to other members.", nil, nil)
	descSuspected = prometheus.NewDesc("barleywick_members_suspected_total", "Members that did not answer this process.", nil, nil)
	descLost      = prometheus.NewDesc("barleywick_members_lost_total", "Members given up for their silence.", nil, nil)
	descBad       = prometheus.NewDesc("barleywick_members_refused_total", "Messages that could not be read, and connections beyond the limit.", nil, nil)
)

// Describe names the figures of the membership.
func (f *fleetView) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descMembers, descMinority, descDiffer, descSent, descSuspected, descLost, descBad} {
		c <- d
	}
}

// Collect reads them.
func (f *fleetView) Collect(c chan<- prometheus.Metric) {
	a, n := f.node.View(), f.node.Stats()
	by := make(map[membership.Status]int)
	for _, m := range a.Members {
		by[m.Status]++
	}
	for _, s := range []membership.Status{membership.StatusPresent, membership.StatusSuspected, membership.StatusUnreachable, membership.StatusLeft, membership.StatusEnded, membership.StatusReplaced} {
		c <- prometheus.MustNewConstMetric(descMembers, prometheus.GaugeValue, float64(by[s]), string(s))
	}
	minority := 0.0
	if a.Minority {
		minority = 1
	}
	c <- prometheus.MustNewConstMetric(descMinority, prometheus.GaugeValue, minority)
	c <- prometheus.MustNewConstMetric(descDiffer, prometheus.GaugeValue, float64(len(a.DifferingPeers)))
	for _, m := range []struct {
		desc  *prometheus.Desc
		value uint64
	}{{descSent, n.BytesSent}, {descSuspected, n.Suspicions}, {descLost, n.Unreachable}, {descBad, n.MalformedMessages + n.RefusedStreams}} {
		c <- prometheus.MustNewConstMetric(m.desc, prometheus.CounterValue, float64(m.value))
	}
}

var (
	descToken  = prometheus.NewDesc("barleykeeper_lease_token", "Fencing token of each lease that this keeper holds.", []string{"lease"}, nil)
	descGrants = prometheus.NewDesc("barleykeeper_lease_grants_total", "Leases granted to this keeper.", nil, nil)
	descLapses = prometheus.NewDesc("barleykeeper_lease_lapses_total", "Leases that lapsed while their task ran.", nil, nil)
)

// leaseCollector tells how a keeper stands at the moment of a scrape.
type leaseCollector struct{ k *Controller }

// Collect reads them.
func (s leaseCollector) Collect(c chan<- prometheus.Metric) {
	for name, token := range s.k.HeldTokens() {
		c <- prometheus.MustNewConstMetric(descToken, prometheus.GaugeValue, float64(token), name)
	}
	grants, lapses := s.k.member.Counts()
	c <- prometheus.MustNewConstMetric(descGrants, prometheus.CounterValue, float64(grants))
	c <- prometheus.MustNewConstMetric(descLapses, prometheus.CounterValue, float64(lapses))
}
