package policy

import (
	"maps"
	"slices"
	"time"
)

// Unresponsive servers neither respond nor close connections, for example because of a machine failure or a
// network partition. They receive probes instead of requests until any response arrives from them. A zone
// from which no responses arrive any more is suspected as a whole.

const (
	// A zone is suspected if suspicionAttempts attempts have been in flight for suspicionObjectiveShare of the
	// average objective without any response from the zone. A single one may be due to a heavy request or a
	// slow server.
	suspicionAttempts       = 3
	suspicionObjectiveShare = 0.3
	// suspicionProbeInterval is the average interval between two probes of a suspected zone.
	suspicionProbeInterval = 500 * time.Millisecond
)

// zone is the combined state of the servers of a zone.
type zone struct {
	lastArrivalAt time.Duration // time of the last response from one of them
	suspected     bool          // no responses arrive any more
	probeAt       time.Duration // time of the next probe while suspected
	unanswered    int           // attempts in flight for too long; used only by suspectZones
}

// unresponsiveProbes is the state of the probes of unresponsive servers.
type unresponsiveProbes struct {
	needed      bool // a server or a zone may be unresponsive
	firstServer int  // index of the server at which the next round starts
}

// dropUnlistedZones deletes the zones without a listed server.
func (l *endpointList) dropUnlistedZones() {
	maps.DeleteFunc(l.zones, func(number int, _ *zone) bool {
		return !slices.ContainsFunc(l.servers, func(s *server) bool { return s.Zone == number })
	})
}

// recordArrival records that a response of any kind arrived from a server.
func (s *server) recordArrival(now time.Duration) {
	s.zone.lastArrivalAt, s.zone.suspected = now, false
	s.unresponsive = false
}

// markUnresponsive records that an expected response from a server did not arrive.
func (b *Balancer) markUnresponsive(now time.Duration, s *server) {
	s.unresponsive = true
	b.probes.needed = true
	b.recordFailure(now, s)
}

// suspectZones marks zones from which no responses arrive any more as suspected.
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
			if z.unanswered >= suspicionAttempts && !z.suspected {
				z.suspected, z.probeAt = true, now
				b.probes.needed = true
			}
		}
	}
}

// probeUnresponsive sends the probes that are due. Each round starts at a random server, so that the probes
// of a zone cover all of its servers.
func (b *Balancer) probeUnresponsive(now time.Duration) {
	if !b.cfg.MayProbe {
		return
	}
	servers := b.endpoints.servers
	if b.probes.needed {
		b.probes.needed = false
		for i := range servers {
			s := servers[(i+b.probes.firstServer)%len(servers)]
			if s.zone.suspected || s.unresponsive {
				b.probes.needed = true
				b.probeIfDue(now, s)
			}
		}
	}
	if len(servers) > 0 {
		b.probes.firstServer = b.rng.IntN(len(servers))
	}
}

// probeIfDue probes a server if a probe is due: in a suspected zone one server per interval, and otherwise
// each unresponsive server of the subset whose recovery attempt is due.
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
