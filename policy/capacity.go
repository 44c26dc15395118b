package policy

import "time"

// Capacity estimates: listed weights are rough, and with them alone one kind of server may be
// overloaded while another is idle. A balancer meets a single server too seldom to measure it, but
// the load reports of all servers with the same listed weight are enough.

const (
	minUtilization = 0.2  // at a lower utilization the rate says nothing about the capacity
	capacityPrior  = 2.0  // number of busy reports that the listed weight counts for
	capacityMemory = 60.0 // number of busy reports that are remembered: those of about a minute
	// probeInterval is the number of requests for each load probe. A probe has a cost, and those of all
	// balancers add up.
	probeInterval = 16
	// At the start nothing is known, so the first requests bring more probes.
	firstRequests, firstProbeInterval = 16, 4
	// maxWeightClasses bounds the weights that are distinguished. More would be measurements.
	maxWeightClasses = 8
	// minLatencySeconds avoids a division by zero.
	minLatencySeconds = 1e-3
)

// weightClass sums the load reports of all servers with one listed weight.
type weightClass struct {
	weight      float64
	servedRate  float64 // requests a second
	utilization float64 // shares of the cores in use
}

// capacityModel estimates what servers can do by their listed weight.
type capacityModel struct {
	classes  []weightClass
	requests int // since the start, which decide when a probe is due
}

// learn takes a load report of a server with a listed weight, and says whether it changed the model.
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
	if c.utilization > capacityMemory {
		c.servedRate, c.utilization = c.servedRate/2, c.utilization/2
	}
	return true
}

// class returns the class of a listed weight, or nil if there are too many.
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

// ratePerWeight is how many requests a second servers answer for each unit of weight. Before the
// first report it is assumed that a server answers one request after the other.
func (m *capacityModel) ratePerWeight(usualLatency time.Duration) float64 {
	rate, busy := 0.0, 0.0
	for _, c := range m.classes {
		rate += c.servedRate
		busy += c.utilization * c.weight
	}
	if rate == 0 {
		return 1 / max(usualLatency.Seconds(), minLatencySeconds)
	}
	return rate / busy
}

// of is the capacity of servers with a listed weight, on the scale of the weights.
func (m *capacityModel) of(weight float64, usualLatency time.Duration) float64 {
	mean := m.ratePerWeight(usualLatency)
	for _, c := range m.classes {
		if c.weight == weight {
			return (c.servedRate + capacityPrior*weight*mean) / (c.utilization + capacityPrior) / mean
		}
	}
	return weight
}

// learnCapacity takes a server's load report and updates the capacities of all servers.
func (b *Balancer) learnCapacity(s *server, report LoadReport) {
	if !b.capacities.learn(s.Weight, report) {
		return
	}
	for _, s := range b.endpoints.servers {
		s.capacity = b.capacities.of(s.Weight, b.traffic.usualLatency)
	}
}

// probeForLoad asks a server for a load report if enough requests have come since the last time. With
// low traffic the server is random, so that balancers do not probe in step.
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
