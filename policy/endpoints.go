package policy

import (
	"math"
	"slices"
	"time"
)

// peakWeightMemory is longer than servers are away because of a fault or a deployment.
const peakWeightMemory = time.Minute

// server is an endpoint with what this balancer knows of it.
type server struct {
	Endpoint
	zone          *zone
	inFlight      int           // attempts of this balancer
	capacity      float64       // estimated, on the scale of the weights
	answeredAt    time.Duration // the last good answer, or the start
	outsideSubset bool
	unresponsive  bool // gets probes instead of requests

	// meanSquareShare is the mean square of the share of their objective that its recent answers took.
	meanSquareShare float64

	health    health
	ejection  ejection
	load      reportedLoad
	rotation  rotation
	slowStart slowStart
}

// reportedLoad is the part of a server's last load report that does not come from this balancer.
type reportedLoad struct {
	at            time.Duration // 0: there was none
	otherInFlight float64
}

// learnLoad takes a server's load report.
func (s *server) learnLoad(now time.Duration, report LoadReport) {
	if total := s.reportedInFlight(report); total >= 0 {
		s.load = reportedLoad{at: now, otherInFlight: max(0, total-float64(s.inFlight))}
	}
}

// reportedInFlight is how many requests a server holds by its report, or negative. If the report
// contains only the queued ones, the running ones follow from the utilization: a server of weight 1
// has about one core.
func (s *server) reportedInFlight(report LoadReport) float64 {
	if report.InFlight >= 0 || report.Queued < 0 {
		return report.InFlight
	}
	return report.Queued + max(0, report.Utilization)*s.Weight
}

// endpointList holds the servers that the endpoint list names.
type endpointList struct {
	servers []*server     // in the order in which the list named them
	zones   map[int]*zone // those that have a server

	readyWeight   float64 // of all servers that are ready
	healthyWeight float64 // of those that are not outliers
	peakWeight    float64 // highest readyWeight, which decays towards the present one
	peakAt        time.Duration
}

// find returns the server with an id, or nil.
func (l *endpointList) find(id ServerID) *server {
	if i := slices.IndexFunc(l.servers, func(s *server) bool { return s.ID == id }); i >= 0 {
		return l.servers[i]
	}
	return nil
}

// zone returns the state of a zone.
func (l *endpointList) zone(number int) *zone {
	if l.zones[number] == nil {
		l.zones[number] = new(zone)
	}
	return l.zones[number]
}

// markRemoved marks every server as removed until the list names it.
func (l *endpointList) markRemoved() {
	for _, s := range l.servers {
		s.State = Removed
	}
}

// dropRemoved forgets the servers that are removed.
func (l *endpointList) dropRemoved() {
	l.servers = slices.DeleteFunc(l.servers, func(s *server) bool { return s.State == Removed })
}

// updateWeights adds up the weights. The peak decays slowly: while replacements overlap with what
// they replace, the sum is too high.
func (l *endpointList) updateWeights(now time.Duration) {
	decay := math.Exp(-float64(now-l.peakAt) / float64(peakWeightMemory))
	l.peakWeight = l.readyWeight + (l.peakWeight-l.readyWeight)*decay
	l.peakAt = now
	l.readyWeight, l.healthyWeight = 0, 0
	for _, s := range l.servers {
		if s.State == Ready {
			l.readyWeight += s.Weight
			if !s.health.outlier {
				l.healthyWeight += s.Weight
			}
		}
	}
	l.peakWeight = max(l.peakWeight, l.readyWeight)
}

// weightShare is a server's part of a total by its weight in the largest recent list.
func (l *endpointList) weightShare(total float64, s *server) float64 {
	return total * s.Weight / max(l.peakWeight, s.Weight)
}

// List takes a message about the endpoint list.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.ListLost(now, ListLoss{Unresponsive: true})
		return
	}
	if kind != ListCached && b.cfg.PollList {
		b.poll.stop()
	}
	if kind != ListDelta {
		b.endpoints.markRemoved()
	}
	for _, e := range entries {
		b.updateEndpoint(now, e)
	}
	b.endpoints.dropRemoved()
	if b.bulkheads.expectedInFlight == 0 {
		b.sizeBulkheads() // no quotas: the first list is all there is to go by
	}
	b.endpoints.forgetZones()
	b.endpoints.updateWeights(now)
	b.classifyTraffic()
	b.dispatchQueued(now)
}

// updateEndpoint takes one entry of the list.
func (b *Balancer) updateEndpoint(now time.Duration, e Endpoint) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1 // without weights all servers count alike
	}
	s := b.endpoints.find(e.ID)
	if s == nil {
		s = new(server)
		s.rotation.current = b.rng.Float64() * e.Weight // balancers must not rotate in step
		b.endpoints.servers = append(b.endpoints.servers, s)
	}
	restarted := e.Started > s.Started
	s.Endpoint, s.zone = e, b.endpoints.zone(e.Zone)
	s.capacity = b.capacities.of(e.Weight, b.traffic.usualLatency)
	if restarted {
		b.resetServer(now, s)
	}
}

// resetServer takes that a server has started: it warms up, and what was known of it is void.
func (b *Balancer) resetServer(now time.Duration, s *server) {
	s.slowStart.warmAt = max(s.slowStart.warmAt, s.Started+b.cfg.SlowStartWindow)
	s.health.recovered()
	s.answeredAt = now
	s.ejection = ejection{}
	s.recordArrival(now)
	// All balancers are notified at once, and their first sends together would overload it.
	firstSend := time.Duration(b.rng.Float64() * float64(b.slowStartInterval(now, s)))
	s.slowStart.nextSend = now + firstSend
}
