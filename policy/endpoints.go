package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// List takes news of the server list.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.ListLost(now, ListLoss{Unresponsive: true})
		return
	}
	if kind != ListCached && b.cfg.PollList {
		b.pollAt, b.pollFailures = 0, 0
	}
	if kind != ListDelta {
		for _, s := range b.servers {
			s.State = Removed // until the list names it
		}
	}
	for _, e := range entries {
		b.updateEndpoint(now, e)
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == Removed })
	if b.expectedInFlight == 0 {
		b.sizeBulkheads() // no quotas: the first list is all there is to go by
	}
	b.forgetZones()
	b.updateWeights(now)
	rate := cmp.Or(b.totalQuota/float64(max(1, len(b.servers))), 8/b.averageObjective) / float64(b.cfg.Balancers)
	b.lowTraffic = b.cfg.MayProbe && rate < lowTrafficRate
	b.chooseSubset(rate / lowTrafficRate)
	b.dispatchQueued(now)
}

// updateEndpoint takes over one line of the list.
func (b *Balancer) updateEndpoint(now time.Duration, e Endpoint) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1 // no weights, even turns
	}
	s := b.server(e.ID)
	if s == nil {
		s = &server{currentWeight: b.rng.Float64() * e.Weight} // balancers must not begin in step
		b.servers = append(b.servers, s)
	}
	fresh := e.Started > s.Started
	if b.zones[e.Zone] == nil {
		b.zones[e.Zone] = new(zone)
	}
	s.Endpoint, s.zone = e, b.zones[e.Zone]
	s.capacity = b.capacityOf(e.Weight)
	if fresh { // cold, and nothing known of it holds any more
		s.warmAt = max(s.warmAt, e.Started+b.cfg.SlowStartWindow)
		s.outlier, s.consecutiveFailures, s.suspected, s.answeredAt = false, 0, false, now
		s.consecutiveSlow, s.ejectedUntil = 0, 0
		b.heardFrom(now, s)
		// All balancers are told at once: their first sends together would push it over.
		s.nextSlowStartSend = now + time.Duration(b.rng.Float64()*float64(b.slowStartInterval(now, s)))
	}
}

type server struct {
	Endpoint
	inFlight            int           // this balancer's attempts there
	capacity            float64       // what it can do, on the scale of the weights
	effectiveWeight     float64       // in the pick under way: its weight, 0 where it can't take the request
	eligible            bool          // and whether it has a turn to give
	currentWeight       float64       // smooth weighted round robin: how much its turn is due
	answeredAt          time.Duration // its last answer, or restart
	reportedAt          time.Duration // it last reported its load; 0: never
	otherInFlight       float64       // and then held this many requests that are not ours
	objectiveUse        float64       // mean square of the share of the aim that its answers take, lately
	outsideSubset       bool          // not among this balancer's first choice
	unresponsive        bool          // it said nothing where it should have: probes, no requests
	zone                *zone         // what is known of its zone
	outlier             bool          // evidence was against it; it gets trials only
	consecutiveSlow     int           // answers from behind a queue since the last quick one
	ejectedUntil        time.Duration // and until then it gets no turn for them
	consecutiveFailures int           // evidence against it since its last answer
	suspected           bool          // and one failure that may be chance
	lastFailureAt       time.Duration // when it failed last
	recoveryAt          time.Duration // next trial
	warmAt              time.Duration // cold until then, by the list
	nextSlowStartSend   time.Duration // while cold: nothing more before this
}

// server returns the listed server of that name, or nil.
func (b *Balancer) server(id ServerID) *server {
	if i := slices.IndexFunc(b.servers, func(s *server) bool { return s.ID == id }); i >= 0 {
		return b.servers[i]
	}
	return nil
}

// peakWeightMemory is longer than servers are out for a trouble or a deploy.
const peakWeightMemory = time.Minute

// updateWeights adds up the weights of the ready servers and of those that are well. The most there was
// is forgotten slowly: while replacements overlap with what they replace there is too much.
func (b *Balancer) updateWeights(now time.Duration) {
	b.peakWeight = b.readyWeight + (b.peakWeight-b.readyWeight)*math.Exp(-float64(now-b.peakAt)/float64(peakWeightMemory))
	b.peakAt = now
	b.readyWeight, b.healthyWeight = 0, 0
	for _, s := range b.servers {
		if s.State == Ready {
			b.readyWeight += s.Weight
			if !s.outlier {
				b.healthyWeight += s.Weight
			}
		}
	}
	b.peakWeight = max(b.peakWeight, b.readyWeight)
}

// weightShare is a server's weightShare of a total by its weight in the fullest list there was.
func (b *Balancer) weightShare(total float64, s *server) float64 {
	return total * s.Weight / max(b.peakWeight, s.Weight)
}
