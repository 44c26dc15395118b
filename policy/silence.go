package policy

import (
	"maps"
	"slices"
	"time"
)

// Silence: what neither answers nor breaks, as a machine that vanished or a zone that is cut off. A zone from
// which nothing comes any more is doubted as a whole; a silent server gets probes, not requests, until it speaks.

const (
	// doubtSends attempts that are out for doubtPart of the aim, while their zone has
	// said nothing since, make it doubted. One may be heavy, or its server slow.
	doubtSends = 3
	doubtPart  = 0.3
	doubtProbe = 500 * time.Millisecond // the pause between two probes into a doubted zone
)

// zone is what is known of the servers of one zone together.
type zone struct {
	heard   time.Duration // something came from one of them
	doubted bool          // nothing comes any more
	probeAt time.Duration // next probe while doubted
	out     int           // attempts that wait for a word from it: doubt counts them
}

// forgetZones lets go of the zones that no listed server is in.
func (b *Balancer) forgetZones() {
	maps.DeleteFunc(b.zones, func(number int, _ *zone) bool {
		return !slices.ContainsFunc(b.servers, func(s *server) bool { return s.Zone == number })
	})
}

// spoke takes that a server said something, whatever it was.
func (b *Balancer) spoke(now time.Duration, s *server) {
	s.in.heard, s.in.doubted = now, false
	s.silent = false
}

// doubt looks for zones from which nothing comes any more.
func (b *Balancer) doubt(now time.Duration) {
	if !b.cfg.MayProbe {
		return
	}
	wait := time.Duration(doubtPart * b.aim * float64(time.Second))
	for _, z := range b.zones {
		z.out = 0
	}
	for _, r := range b.open {
		for i := range r.attempts {
			a := &r.attempts[i]
			z := a.to.in
			if a.state != inFlight || z.heard > a.sent || now-a.sent < wait {
				continue
			}
			if z.out++; z.out >= doubtSends && !z.doubted {
				z.doubted, z.probeAt, b.hush = true, now, true
			}
		}
	}
}

// listen probes what says nothing: one server of a doubted zone now and then, and
// elsewhere each silent server when its trial is due.
func (b *Balancer) listen(now time.Duration) {
	if !b.cfg.MayProbe {
		return
	}
	looked := b.hush
	b.hush = false
	for i := 0; looked && i < len(b.servers); i++ { // from any of them on, so that a zone's probes go round
		s := b.servers[(i+b.listenFrom)%len(b.servers)]
		z := s.in
		b.hush = b.hush || z.doubted || s.silent
		switch {
		case s.State != Ready:
		case z.doubted && now >= z.probeAt:
			z.probeAt = now + time.Duration(float64(doubtProbe)*(0.5+b.rng.Float64()))
			b.host.Probe(s.ID)
		case !z.doubted && s.silent && !(b.thin && s.spare) && now >= s.trialAt:
			s.trialAt = now + b.backoff(s.strikes)
			b.host.Probe(s.ID)
		}
	}
	if len(b.servers) > 0 {
		b.listenFrom = b.rng.IntN(len(b.servers))
	}
}
