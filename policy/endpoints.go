package policy

import (
	"math"
	"slices"
	"time"
)

// peakWeightTimeConstant is longer than a server is absent because of a fault or a deployment.
const peakWeightTimeConstant = time.Minute

// server is an endpoint and this balancer's state for it.
type server struct {
	Endpoint
	zone          *zone
	inFlight      int           // attempts of this balancer in flight
	capacity      float64       // estimated, on the scale of the weights
	lastSuccessAt time.Duration // time of the last successful response or of the detected restart
	outsideSubset bool
	unresponsive  bool // receives probes instead of requests

	// meanSquareShare is the moving average of the squared share of their objective that its responses took.
	meanSquareShare float64

	health    health
	ejection  ejection
	load      reportedLoad
	rotation  rotation
	slowStart slowStart
}

// reportedLoad is the load of a server from other balancers by its last load report.
type reportedLoad struct {
	at            time.Duration // time of the report; 0: there was none
	otherInFlight float64
}

// learnLoad records a server's load report.
func (s *server) learnLoad(now time.Duration, report LoadReport) {
	if total := s.reportedInFlight(report); total >= 0 {
		s.load = reportedLoad{at: now, otherInFlight: max(0, total-float64(s.inFlight))}
	}
}

// reportedInFlight returns the number of requests in flight at a server by its report; negative: unknown. If
// the report contains only queued requests, the running ones are derived from the utilization: a server of
// weight 1 has about one core.
func (s *server) reportedInFlight(report LoadReport) float64 {
	if report.InFlight >= 0 || report.Queued < 0 {
		return report.InFlight
	}
	return report.Queued + max(0, report.Utilization)*s.Weight
}

// endpointList holds the servers of the endpoint list.
type endpointList struct {
	servers []*server     // in the order in which they were first listed
	zones   map[int]*zone // by number; zones that have a listed server

	readyWeight   float64 // of all ready servers
	healthyWeight float64 // of the ready servers that are not outliers
	peakWeight    float64 // highest readyWeight, which decays towards the current one
	peakAt        time.Duration
}

// find returns the server with an id, or nil.
func (l *endpointList) find(id ServerID) *server {
	if i := l.indexOf(id); i >= 0 {
		return l.servers[i]
	}
	return nil
}

// indexOf returns the index of the server with an id, or -1.
func (l *endpointList) indexOf(id ServerID) int {
	return slices.IndexFunc(l.servers, func(s *server) bool { return s.ID == id })
}

// zone returns the state of a zone, which it creates if it does not exist.
func (l *endpointList) zone(number int) *zone {
	if l.zones[number] == nil {
		l.zones[number] = new(zone)
	}
	return l.zones[number]
}

// markRemoved marks all servers as removed; the entries of a complete list then restore the listed ones.
func (l *endpointList) markRemoved() {
	for _, s := range l.servers {
		s.State = Removed
	}
}

// dropRemoved deletes the servers that are marked as removed.
func (l *endpointList) dropRemoved() {
	l.servers = slices.DeleteFunc(l.servers, func(s *server) bool { return s.State == Removed })
}

// updateWeights recalculates the sums of the weights. The peak decays slowly because the sum is too high
// while replacement servers overlap with those they replace.
func (l *endpointList) updateWeights(now time.Duration) {
	decay := math.Exp(-float64(now-l.peakAt) / float64(peakWeightTimeConstant))
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

// weightShare returns a server's share of a total, by its weight relative to the peak weight.
func (l *endpointList) weightShare(total float64, s *server) float64 {
	return total * s.Weight / max(l.peakWeight, s.Weight)
}

// List applies a list event.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		called := b.poll.awaitsWatch || b.poll.awaitsFullList // any call would have failed
		b.ListLost(now, ListLoss{Unresponsive: true, FullList: called, Established: !called})
		return
	}
	if kind != ListCached && b.cfg.PollList {
		b.listReceived(now, kind, len(entries) > 0)
	}
	if kind != ListDelta {
		b.endpoints.markRemoved()
	}
	for _, e := range entries {
		b.updateEndpoint(now, e)
	}
	b.endpoints.dropRemoved()
	if b.bulkheads.expectedInFlight == 0 {
		b.sizeBulkheads() // without quotas the size depends on the first list
	}
	b.endpoints.dropUnlistedZones()
	b.endpoints.updateWeights(now)
	b.classifyTraffic()
	b.dispatchQueued(now)
}

// updateEndpoint adds or updates the server of one list entry.
func (b *Balancer) updateEndpoint(now time.Duration, e Endpoint) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1 // servers without a valid weight are weighted equally
	}
	index := b.endpoints.indexOf(e.ID)
	restarted := index < 0 && e.Started > 0
	switch {
	case index < 0:
		s := new(server)
		s.rotation.current = b.rng.Float64() * e.Weight // balancers must not rotate in lockstep
		index = len(b.endpoints.servers)
		b.endpoints.servers = append(b.endpoints.servers, s)
	case e.Started > b.endpoints.servers[index].Started:
		restarted = true
		b.endpoints.servers[index] = b.endpoints.servers[index].successor()
	}
	s := b.endpoints.servers[index]
	s.Endpoint, s.zone = e, b.endpoints.zone(e.Zone)
	s.capacity = b.capacities.estimate(e.Weight, b.traffic.averageLatency)
	if restarted {
		b.startServer(now, s)
	}
}

// successor returns the state of the process that has replaced a server's. The replaced one stays with its attempts:
// neither their outcomes nor their number say anything about the new process.
func (s *server) successor() *server {
	return &server{
		outsideSubset: s.outsideSubset, rotation: s.rotation, slowStart: slowStart{warmAt: s.slowStart.warmAt},
	}
}

// startServer begins the slow start of a server that has started.
func (b *Balancer) startServer(now time.Duration, s *server) {
	s.slowStart.warmAt = max(s.slowStart.warmAt, s.Started+b.cfg.SlowStartWindow)
	s.lastSuccessAt = now
	s.recordArrival(now)
	// All balancers are notified at the same time, and simultaneous first sends would overload the server.
	firstSend := time.Duration(b.rng.Float64() * float64(b.slowStartInterval(now, s)))
	s.slowStart.nextSendAt = now + firstSend
}
