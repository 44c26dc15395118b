package policy

// What servers can do, learnt from load reports: by listed weights, which are rough, one kind of server may be
// overrun while another idles. A server is met too seldom to be measured, but all of one listed weight are not.

const (
	busyEnough = 0.2  // so busy a server must be for its rate to tell its capacity
	sizePrior  = 2.0  // busy reports that the listed weights count for
	sizeMemory = 60.0 // busy reports that are remembered: about a minute of them
	// probeEvery is how many requests there are for each report that is asked for. Every one
	// has a price, and those of all balancers add up.
	probeEvery = 16
	// Nothing is known at the start: the first reports come thicker, a few: each balancer asks for them.
	firstRequests, firstProbeEvery = 16, 4
	// mostSizes bounds the weights that are told apart: all different, they are measurements.
	mostSizes = 8
)

// size adds up the reports of all servers that one weight is listed for.
type size struct {
	weight float64
	rate   float64 // requests a second, added up
	busy   float64 // share of the cores in use, added up
}

// measure learns from a load report what servers of one listed weight can do.
func (b *Balancer) measure(s *server, l LoadReport) {
	if l.Utilization < busyEnough || l.ServedPerSecond <= 0 {
		return
	}
	z := b.sizeOf(s.Weight)
	if z == nil {
		return
	}
	z.rate += l.ServedPerSecond
	if z.busy += l.Utilization; z.busy > sizeMemory {
		z.rate, z.busy = z.rate/2, z.busy/2
	}
	for _, s := range b.servers {
		s.size = b.capacity(s.Weight)
	}
}

// sizeOf returns the entry of a listed weight, or nil where there are too many.
func (b *Balancer) sizeOf(weight float64) *size {
	for i := range b.sizes {
		if b.sizes[i].weight == weight {
			return &b.sizes[i]
		}
	}
	if len(b.sizes) == mostSizes {
		return nil
	}
	b.sizes = append(b.sizes, size{weight: weight})
	return &b.sizes[len(b.sizes)-1]
}

// unit is how many requests a second servers answer for each unit of weight.
func (b *Balancer) unit() float64 {
	rate, busy := 0.0, 0.0
	for _, z := range b.sizes {
		rate += z.rate
		busy += z.busy * z.weight
	}
	if rate == 0 {
		return 1 / max(b.pace.Seconds(), 1e-3) // no report yet: one at a time
	}
	return rate / busy
}

// capacity is what servers of a listed weight can do, on the scale of the weights.
func (b *Balancer) capacity(weight float64) float64 {
	mean := b.unit()
	for _, z := range b.sizes {
		if z.weight == weight {
			return (z.rate + sizePrior*weight*mean) / (z.busy + sizePrior) / mean
		}
	}
	return weight
}

// probe asks a server for a load report, as often as requests pay for it. Where
// traffic is thin it asks any server at random, so that balancers don't go round in step.
func (b *Balancer) probe() {
	n := len(b.servers)
	if b.probes++; !b.cfg.LoadReports || n == 0 {
		return
	}
	every, next := probeEvery, b.probes/probeEvery%n
	if b.thin {
		if next = b.rng.IntN(n); b.probes <= firstRequests {
			every = firstProbeEvery
		}
	}
	if s := b.servers[next]; b.probes%every == 0 && s.State == Ready {
		b.host.Probe(s.ID)
	}
}
