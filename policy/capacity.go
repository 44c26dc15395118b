package policy

// What servers can do, learnt from load reports: by listed weights, which are rough, one kind of server may be
// overrun while another idles. A server is met too seldom to be measured, but all of one listed weight are not.

const (
	minUtilization = 0.2  // so busy a server must be for its rate to tell its capacity
	capacityPrior  = 2.0  // busy reports that the listed weights count for
	capacityMemory = 60.0 // busy reports that are remembered: about a minute of them
	// probeInterval is how many requests there are for each report that is asked for. Every one
	// has a price, and those of all balancers add up.
	probeInterval = 16
	// Nothing is known at the start: the first reports come thicker, a few: each balancer asks for them.
	firstRequests, firstProbeInterval = 16, 4
	// maxWeightClasses bounds the weights that are told apart: all different, they are measurements.
	maxWeightClasses = 8
)

// weightClass adds up the reports of all servers that one weight is listed for.
type weightClass struct {
	weight      float64
	servedRate  float64 // requests a second, added up
	utilization float64 // share of the cores in use, added up
}

// learnCapacity learns from a load report what servers of one listed weight can do.
func (b *Balancer) learnCapacity(s *server, l LoadReport) {
	if l.Utilization < minUtilization || l.ServedPerSecond <= 0 {
		return
	}
	z := b.weightClass(s.Weight)
	if z == nil {
		return
	}
	z.servedRate += l.ServedPerSecond
	if z.utilization += l.Utilization; z.utilization > capacityMemory {
		z.servedRate, z.utilization = z.servedRate/2, z.utilization/2
	}
	for _, s := range b.servers {
		s.capacity = b.capacityOf(s.Weight)
	}
}

// weightClass returns the entry of a listed weight, or nil where there are too many.
func (b *Balancer) weightClass(weight float64) *weightClass {
	for i := range b.weightClasses {
		if b.weightClasses[i].weight == weight {
			return &b.weightClasses[i]
		}
	}
	if len(b.weightClasses) == maxWeightClasses {
		return nil
	}
	b.weightClasses = append(b.weightClasses, weightClass{weight: weight})
	return &b.weightClasses[len(b.weightClasses)-1]
}

// requestsPerWeight is how many requests a second servers answer for each requestsPerWeight of weight.
func (b *Balancer) requestsPerWeight() float64 {
	rate, busy := 0.0, 0.0
	for _, z := range b.weightClasses {
		rate += z.servedRate
		busy += z.utilization * z.weight
	}
	if rate == 0 {
		return 1 / max(b.usualLatency.Seconds(), 1e-3) // no report yet: one at a time
	}
	return rate / busy
}

// capacityOf is what servers of a listed weight can do, on the scale of the weights.
func (b *Balancer) capacityOf(weight float64) float64 {
	mean := b.requestsPerWeight()
	for _, z := range b.weightClasses {
		if z.weight == weight {
			return (z.servedRate + capacityPrior*weight*mean) / (z.utilization + capacityPrior) / mean
		}
	}
	return weight
}

// probeForLoad asks a server for a load report, as often as requests pay for it. Where
// traffic is thin it asks any server at random, so that balancers don't go round in step.
func (b *Balancer) probeForLoad() {
	n := len(b.servers)
	if b.requestCount++; !b.cfg.LoadReports || n == 0 {
		return
	}
	every, next := probeInterval, b.requestCount/probeInterval%n
	if b.lowTraffic {
		if next = b.rng.IntN(n); b.requestCount <= firstRequests {
			every = firstProbeInterval
		}
	}
	if s := b.servers[next]; b.requestCount%every == 0 && s.State == Ready {
		b.host.Probe(s.ID)
	}
}
