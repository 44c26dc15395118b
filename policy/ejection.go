package policy

import "time"

// Latency-based ejection: a server that answers from behind a queue gets nothing for a while. With
// low traffic a single slow answer has to be enough, as all balancers together would keep the queue
// up. Each slow answer prolongs the next ejection, each quick one shortens it. So congestion moves
// traffic to other servers, first to near ones and then to other zones; the rest is shed.

const (
	// slowObjectiveShare is the share of the objective from which an answer shows a queue. Without a
	// queue most answers take a tenth.
	slowObjectiveShare = 0.3
	// slowWorkFactor is the multiple of its expected work that a request may take without a queue.
	slowWorkFactor = 2.0
	// initialEjection is a few times what it takes to work off such a queue, as others send too.
	initialEjection = time.Second
	// ejectionLatencyFactor is the shortest ejection as a multiple of the answer's time, which is what
	// every request takes that is sent there now.
	ejectionLatencyFactor = 4
	// maxEjection bounds how long a server that has recovered is not used.
	maxEjection = 4 * time.Second
	// zoneSpillThreshold is the share of ejected near servers up to which crossing zones costs more than
	// it brings.
	zoneSpillThreshold = 0.1
)

// ejection is the state of a server's latency-based ejection.
type ejection struct {
	consecutiveSlow int
	until           time.Duration
}

// observeQueueing learns from the end of an attempt whether its server has a queue.
func (b *Balancer) observeQueueing(now time.Duration, r *request, s *server, took time.Duration, end Ending) {
	share := (float64(took) - slowWorkFactor*float64(r.expectedWork)) / float64(r.class.LatencyObjective)
	switch end {
	case Rejected:
		share = 1
	case Served, TimedOut:
	default:
		return // the ending says nothing about a queue
	}
	b.congestion.add(now, max(0, min(1, share)))
	switch {
	case share > slowObjectiveShare:
		b.eject(now, s, took)
	case end == Served:
		s.ejection.consecutiveSlow = max(0, s.ejection.consecutiveSlow-1)
	}
}

// eject ejects a server. The time is random so that balancers do not return together.
func (b *Balancer) eject(now time.Duration, s *server, took time.Duration) {
	byCount := initialEjection << min(s.ejection.consecutiveSlow, maxBackoffDoublings)
	pause := min(max(byCount, ejectionLatencyFactor*took), maxEjection)
	s.ejection.until = now + time.Duration(float64(pause)*(0.5+b.rng.Float64()))
	s.ejection.consecutiveSlow++
}

// ejected says whether a server gets nothing because of its queue.
func (b *Balancer) ejected(now time.Duration, s *server) bool {
	return b.traffic.low && now < s.ejection.until
}

// ejectedShare is the part of the capacity of the preferred ready servers, of the near ones or all,
// that is ejected, an outlier or in a zone that is suspected.
func (b *Balancer) ejectedShare(now time.Duration, near bool) float64 {
	all, idle := 0.0, 0.0
	for _, s := range b.endpoints.servers {
		if s.State != Ready || s.outsideSubset || (near && s.Zone != b.cfg.Zone) {
			continue
		}
		all += s.capacity
		if s.health.outlier || b.ejected(now, s) || s.zone.suspected {
			idle += s.capacity
		}
	}
	if all == 0 {
		return 1
	}
	return idle / all
}
