package policy

import (
	"maps"
	"slices"
	"time"
)

// Unresponsive servers neither answer nor break a connection, like a machine that has vanished or a
// zone that is cut off. They get probes instead of requests until something arrives from them. A
// zone from which nothing arrives any more is suspected as a whole.

const (
	// A zone is suspected if suspicionSends attempts have been in flight for suspicionObjectiveShare of
	// the objective while nothing came from it. A single one may be a heavy request or a slow server.
	suspicionSends          = 3
	suspicionObjectiveShare = 0.3
	// suspicionProbeInterval is the pause between two probes into a suspected zone.
	suspicionProbeInterval = 500 * time.Millisecond
)

// zone is what is known of the servers of a zone together.
type zone struct {
	lastArrivalAt time.Duration // when something last came from one of them
	suspected     bool          // nothing arrives any more
	probeAt       time.Duration // when the next probe is due while suspected
	unanswered    int           // attempts that have waited too long; used by suspectZones
}

// unresponsiveProbes is the state of the probes at unresponsive servers.
type unresponsiveProbes struct {
	needed bool // a server or a zone may be unresponsive
	first  int  // index of the server at which the next round begins
}

// forgetZones drops the zones without a listed server.
func (l *endpointList) forgetZones() {
	maps.DeleteFunc(l.zones, func(number int, _ *zone) bool {
		return !slices.ContainsFunc(l.servers, func(s *server) bool { return s.Zone == number })
	})
}

// recordArrival takes that anything arrived from a server.
func (s *server) recordArrival(now time.Duration) {
	s.zone.lastArrivalAt, s.zone.suspected = now, false
	s.unresponsive = false
}

// markUnresponsive takes that nothing arrived from a server although something should have.
func (b *Balancer) markUnresponsive(now time.Duration, s *server) {
	s.unresponsive = true
	b.probes.needed = true
	b.recordFailure(now, s)
}

// suspectZones looks for zones from which nothing arrives any more.
func (b *Balancer) suspectZones(now time.Duration) {
	if !b.cfg.MayProbe {
		return
	}
	wait := time.Duration(suspicionObjectiveShare * b.traffic.averageObjective * float64(time.Second))
	for _, z := range b.endpoints.zones {
		z.unanswered = 0
	}
	for _, r := range b.openRequests {
		for i := range r.attempts {
			a := &r.attempts[i]
			z := a.server.zone
			if a.state != inFlight || z.lastArrivalAt > a.sentAt || now-a.sentAt < wait {
				continue
			}
			z.unanswered++
			if z.unanswered >= suspicionSends && !z.suspected {
				z.suspected, z.probeAt = true, now
				b.probes.needed = true
			}
		}
	}
}

// probeUnresponsive sends the probes that are due. Each round begins at a random server, so that the
// probes into a zone reach all of its servers.
func (b *Balancer) probeUnresponsive(now time.Duration) {
	if !b.cfg.MayProbe {
		return
	}
	servers := b.endpoints.servers
	if b.probes.needed {
		b.probes.needed = false
		for i := range servers {
			s := servers[(i+b.probes.first)%len(servers)]
			if s.zone.suspected || s.unresponsive {
				b.probes.needed = true
				b.probeIfDue(now, s)
			}
		}
	}
	if len(servers) > 0 {
		b.probes.first = b.rng.IntN(len(servers))
	}
}

// probeIfDue probes an unresponsive server or one of a suspected zone: one server of the zone after
// each interval, and elsewhere each server within the subset whose recovery attempt is due.
func (b *Balancer) probeIfDue(now time.Duration, s *server) {
	z := s.zone
	switch {
	case s.State != Ready:
	case z.suspected && now >= z.probeAt:
		z.probeAt = now + time.Duration(float64(suspicionProbeInterval)*(0.5+b.rng.Float64()))
		b.host.Probe(s.ID)
	case !z.suspected && s.unresponsive && !b.outsideSubset(s) && now >= s.health.recoveryAt:
		s.health.recoveryAt = now + b.backoff(s.health.consecutiveFailures)
		b.host.Probe(s.ID)
	}
}
