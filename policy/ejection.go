package policy

import (
	"time"
)

// Rests: a server that answers from behind a queue is passed over for a while, as in outlier ejection.
// Where traffic is thin one answer alone tells of a queue, which all balancers together, going on in turn,
// would keep up. Each slow answer makes the rest longer, the first quick one ends it. So a jam moves traffic
// to other servers, first to those near and then to other zones, and what all of them cannot bear is shed.

const (
	slowObjectiveShare    = 0.3             // of the aim, after which an answer shows a queue: most take a tenth without one
	slowWorkFactor        = 2.0             // the multiple of a request's own expected work that is no queue
	initialEjection       = time.Second     // a few times what working off such a queue takes, as others come too
	ejectionLatencyFactor = 4               // times an answer's own time the server rests at least: all sent there wait so long
	maxEjection           = 4 * time.Second // bounds how long a server that has recovered goes unused
	lateSheddingRange     = 0.3             // the share of servers at rest at which nothing late, which earns less, is sent any more
	// sheddingThreshold is where a jam begins to be shed, and sheddingRange above it all of it is: where
	// the mean answer takes so much of its aim, that of a queue a little longer is late.
	sheddingThreshold, sheddingRange = 0.45, 0.2
	congestionMemory                 = 2 * time.Second // an answer tells of the whole so long: a queue and a half
	zoneSpillThreshold               = 0.1             // the share of near servers at rest up to which crossing zones is not worth its price
)

// observeLatency learns from an attempt's end whether its server has a queue.
func (b *Balancer) observeLatency(now time.Duration, r *request, s *server, took time.Duration, end Ending) {
	part := (float64(took) - slowWorkFactor*float64(r.expectedWork)) / float64(r.class.LatencyObjective)
	switch end {
	case Rejected:
		part = 1
	case Served, TimedOut:
	default:
		return // it tells of no queue
	}
	b.congestion(now)
	b.congestionSum, b.congestionWeight = b.congestionSum+max(0, min(1, part)), b.congestionWeight+1
	if part > slowObjectiveShare {
		pause := min(max(initialEjection<<min(s.consecutiveSlow, 16), ejectionLatencyFactor*took), maxEjection) // spread: balancers must not come back as one
		s.ejectedUntil = now + time.Duration(float64(pause)*(0.5+b.rng.Float64()))
		s.consecutiveSlow++
	} else if end == Served {
		s.consecutiveSlow = max(0, s.consecutiveSlow-1)
	}
}

// ejected says whether a server is passed over for its queue.
func (b *Balancer) ejected(now time.Duration, s *server) bool {
	return b.lowTraffic && now < s.ejectedUntil
}

// ejectedShare is the share of the ready servers, near ones or all, that get no turn for
// their queues or for what is held against them.
func (b *Balancer) ejectedShare(now time.Duration, near bool) float64 {
	all, idle := 0.0, 0.0
	for _, s := range b.servers {
		if s.State != Ready || s.outsideSubset || (near && s.Zone != b.cfg.Zone) {
			continue
		}
		all += s.capacity
		if s.outlier || b.ejected(now, s) || s.zone.suspected {
			idle += s.capacity
		}
	}
	if all == 0 {
		return 1
	}
	return idle / all
}
