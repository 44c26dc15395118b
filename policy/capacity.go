package policy

import "time"

// Capacity estimates: listed weights are inaccurate, so that weighting by them alone may overload one type
// of server while another is idle. A balancer contacts a single server too rarely to measure its capacity,
// but the load reports of all servers with the same listed weight are sufficient.

const (
	minUtilization       = 0.2  // at a lower utilization the served rate does not indicate the capacity
	capacityPrior        = 2.0  // influence of the listed weight, in reports at full utilization
	capacityReportWindow = 60.0 // utilization sum above which the sums are halved: about a minute of reports
	// probeInterval is the number of requests per load probe. Probes are rare since each has a cost, which
	// adds up over all balancers.
	probeInterval = 16
	// During the first requests no capacity is known, so probes are more frequent.
	firstRequests, firstProbeInterval = 16, 4
	// maxWeightClasses limits the number of distinct listed weights. If there are more, the weights are
	// individual measurements rather than types of servers.
	maxWeightClasses = 8
	// minLatencySeconds avoids a division by zero.
	minLatencySeconds = 1e-3
)

// weightClass is the sum of the load reports of all servers with the same listed weight.
type weightClass struct {
	weight      float64
	servedRate  float64 // sum of the requests served per second
	utilization float64 // sum of the shares of cores in use
}

// capacityModel estimates the capacity of servers by their listed weight.
type capacityModel struct {
	classes  []weightClass
	requests int // since the start; determines when a probe is due
}

// learn adds the load report of a server with the given listed weight, and reports whether the model changed.
func (m *capacityModel) learn(weight float64, report LoadReport) bool {
	if report.Utilization < minUtilization || report.ServedPerSecond <= 0 {
		return false
	}
	c := m.class(weight)
	if c == nil {
		return false
	}
	c.servedRate += report.ServedPerSecond
	c.utilization += report.Utilization
	if c.utilization > capacityReportWindow {
		c.servedRate, c.utilization = c.servedRate/2, c.utilization/2
	}
	return true
}

// class returns the class of a listed weight, or nil if there are already maxWeightClasses others.
func (m *capacityModel) class(weight float64) *weightClass {
	for i := range m.classes {
		if m.classes[i].weight == weight {
			return &m.classes[i]
		}
	}
	if len(m.classes) == maxWeightClasses {
		return nil
	}
	m.classes = append(m.classes, weightClass{weight: weight})
	return &m.classes[len(m.classes)-1]
}

// ratePerWeight returns the requests per second that servers complete per unit of weight. Before the first
// report a server is assumed to serve requests one at a time.
func (m *capacityModel) ratePerWeight(usualLatency time.Duration) float64 {
	rate, utilizedWeight := 0.0, 0.0
	for _, c := range m.classes {
		rate += c.servedRate
		utilizedWeight += c.utilization * c.weight
	}
	if rate == 0 {
		return 1 / max(usualLatency.Seconds(), minLatencySeconds)
	}
	return rate / utilizedWeight
}

// estimate returns the capacity of servers with the given listed weight, on the scale of listed weights.
func (m *capacityModel) estimate(weight float64, usualLatency time.Duration) float64 {
	mean := m.ratePerWeight(usualLatency)
	for _, c := range m.classes {
		if c.weight == weight {
			return (c.servedRate + capacityPrior*weight*mean) / (c.utilization + capacityPrior) / mean
		}
	}
	return weight
}

// learnCapacity adds a server's load report to the model and updates the capacities of all servers.
func (b *Balancer) learnCapacity(s *server, report LoadReport) {
	if !b.capacities.learn(s.Weight, report) {
		return
	}
	for _, s := range b.endpoints.servers {
		s.capacity = b.capacities.estimate(s.Weight, b.traffic.averageLatency)
	}
}

// probeForLoad requests a load report from a server once per probe interval. With low traffic the server is
// chosen at random, so that balancers do not probe in lockstep.
func (b *Balancer) probeForLoad() {
	b.capacities.requests++
	servers := b.endpoints.servers
	if !b.cfg.LoadReports || len(servers) == 0 {
		return
	}
	interval, next := probeInterval, b.capacities.requests/probeInterval%len(servers)
	if b.traffic.low {
		next = b.rng.IntN(len(servers))
		if b.capacities.requests <= firstRequests {
			interval = firstProbeInterval
		}
	}
	if s := servers[next]; b.capacities.requests%interval == 0 && s.State == Ready {
		b.host.Probe(s.ID)
	}
}
