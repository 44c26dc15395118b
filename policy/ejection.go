package policy

import "time"

// Latency-based ejection: a server whose response time indicates a queue gets no requests for a while. With
// low traffic a single slow response must be sufficient, since all balancers together would keep the queue
// full. Each slow response lengthens the next ejection, and each fast one shortens it. Congestion thus moves
// traffic to other servers, first in the local zone and then in other zones; the remaining load is shed.

const (
	// slowObjectiveShare is the share of the objective above which a response indicates a queue. Without a
	// queue most responses take a tenth of it.
	slowObjectiveShare = 0.3
	// slowWorkFactor is the multiple of its expected work that a request may take without indicating a queue.
	slowWorkFactor = 2.0
	// initialEjection is several times the time needed to work off such a queue, since other balancers also
	// send to the server.
	initialEjection = time.Second
	// ejectionLatencyFactor is the minimum ejection as a multiple of the slow response's latency, which other
	// requests sent to the server now would also have.
	ejectionLatencyFactor = 4
	// maxEjection limits how long a recovered server remains unused.
	maxEjection = 4 * time.Second
	// zoneSpillThreshold is the share of ejected servers in the local zone up to which sending to other zones
	// costs more than it gains.
	zoneSpillThreshold = 0.1
)

// ejection is the latency-based ejection state of a server.
type ejection struct {
	consecutiveSlow int
	until           time.Duration
}

// observeQueueing updates the congestion and the server's ejection from the result of an attempt.
func (b *Balancer) observeQueueing(now time.Duration, r *request, s *server, elapsed time.Duration, ending Ending) {
	share := (float64(elapsed) - slowWorkFactor*float64(r.expectedWork)) / float64(r.class.LatencyObjective)
	switch ending {
	case Rejected:
		share = 1
	case Served, TimedOut:
	default:
		return // these endings do not indicate a queue
	}
	b.congestion.add(now, max(0, min(1, share)))
	switch {
	case share > slowObjectiveShare:
		b.eject(now, s, elapsed)
	case ending == Served:
		s.ejection.consecutiveSlow = max(0, s.ejection.consecutiveSlow-1)
	}
}

// eject ejects a server for a random time, so that balancers do not resume sending simultaneously.
func (b *Balancer) eject(now time.Duration, s *server, elapsed time.Duration) {
	byCount := initialEjection << min(s.ejection.consecutiveSlow, maxBackoffDoublings)
	pause := min(max(byCount, ejectionLatencyFactor*elapsed), maxEjection)
	s.ejection.until = now + time.Duration(float64(pause)*(0.5+b.rng.Float64()))
	s.ejection.consecutiveSlow++
}

// ejected reports whether a server is ejected now. Ejection applies only with low traffic.
func (b *Balancer) ejected(now time.Duration, s *server) bool {
	return b.traffic.low && now < s.ejection.until
}

// ejectedShare returns the share of capacity that belongs to servers that are ejected, outliers or in a
// suspected zone. It covers the ready servers of the subset, in the local zone only or in all zones.
func (b *Balancer) ejectedShare(now time.Duration, localZoneOnly bool) float64 {
	total, excluded := 0.0, 0.0
	for _, s := range b.endpoints.servers {
		if s.State != Ready || s.outsideSubset || (localZoneOnly && s.Zone != b.cfg.Zone) {
			continue
		}
		total += s.capacity
		if s.health.outlier || b.ejected(now, s) || s.zone.suspected {
			excluded += s.capacity
		}
	}
	if total == 0 {
		return 1
	}
	return excluded / total
}
