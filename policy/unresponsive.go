package policy

import (
	"maps"
	"slices"
	"time"
)

// Silence: what neither answers nor breaks, as a machine that vanished or a zone that is cut off. A zone from
// which nothing comes any more is doubted as a whole; a silent server gets probes, not requests, until it speaks.

const (
	// suspicionSends attempts that are out for doubtPart of the aim, while their zone has
	// said nothing since, make it doubted. One may be heavy, or its server slow.
	suspicionSends          = 3
	suspicionObjectiveShare = 0.3
	suspicionProbeInterval  = 500 * time.Millisecond // the pause between two probes into a doubted zone
)

// zone is what is known of the servers of one zone together.
type zone struct {
	heardAt    time.Duration // something came from one of them
	suspected  bool          // nothing comes any more
	probeAt    time.Duration // next probe while doubted
	unanswered int           // attempts that wait for a word from it: doubt counts them
}

// forgetZones lets go of the zones that no listed server is in.
func (b *Balancer) forgetZones() {
	maps.DeleteFunc(b.zones, func(number int, _ *zone) bool {
		return !slices.ContainsFunc(b.servers, func(s *server) bool { return s.Zone == number })
	})
}

// heardFrom takes that a server said something, whatever it was.
func (b *Balancer) heardFrom(now time.Duration, s *server) {
	s.zone.heardAt, s.zone.suspected = now, false
	s.unresponsive = false
}

// suspectZones looks for zones from which nothing comes any more.
func (b *Balancer) suspectZones(now time.Duration) {
	if !b.cfg.MayProbe {
		return
	}
	wait := time.Duration(suspicionObjectiveShare * b.averageObjective * float64(time.Second))
	for _, z := range b.zones {
		z.unanswered = 0
	}
	for _, r := range b.openRequests {
		for i := range r.attempts {
			a := &r.attempts[i]
			z := a.server.zone
			if a.state != inFlight || z.heardAt > a.sentAt || now-a.sentAt < wait {
				continue
			}
			if z.unanswered++; z.unanswered >= suspicionSends && !z.suspected {
				z.suspected, z.probeAt, b.anyUnresponsive = true, now, true
			}
		}
	}
}

// probeUnresponsive probes what says nothing: one server of a doubted zone now and then, and
// elsewhere each silent server when its trial is due.
func (b *Balancer) probeUnresponsive(now time.Duration) {
	if !b.cfg.MayProbe {
		return
	}
	looked := b.anyUnresponsive
	b.anyUnresponsive = false
	for i := 0; looked && i < len(b.servers); i++ { // from any of them on, so that a zone's probes go round
		s := b.servers[(i+b.probeFrom)%len(b.servers)]
		z := s.zone
		b.anyUnresponsive = b.anyUnresponsive || z.suspected || s.unresponsive
		switch {
		case s.State != Ready:
		case z.suspected && now >= z.probeAt:
			z.probeAt = now + time.Duration(float64(suspicionProbeInterval)*(0.5+b.rng.Float64()))
			b.host.Probe(s.ID)
		case !z.suspected && s.unresponsive && !(b.lowTraffic && s.outsideSubset) && now >= s.recoveryAt:
			s.recoveryAt = now + b.backoff(s.consecutiveFailures)
			b.host.Probe(s.ID)
		}
	}
	if len(b.servers) > 0 {
		b.probeFrom = b.rng.IntN(len(b.servers))
	}
}
