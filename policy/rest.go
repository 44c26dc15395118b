package policy

import (
	"math"
	"time"
)

// Rests: a server that answers from behind a queue is passed over for a while, as in outlier ejection.
// Where traffic is thin one answer alone tells of a queue, which all balancers together, going on in turn,
// would keep up. Each slow answer makes the rest longer, the first quick one ends it. So a jam moves traffic
// to other servers, first to those near and then to other zones, and what all of them cannot bear is shed.

const (
	slowPart  = 0.3             // of the aim, after which an answer shows a queue: most take a tenth without one
	slowWork  = 2.0             // the multiple of a request's own expected work that is no queue
	firstRest = time.Second     // a few times what working off such a queue takes, as others come too
	restFor   = 4               // times an answer's own time the server rests at least: all sent there wait so long
	lastRest  = 4 * time.Second // bounds how long a server that has recovered goes unused
	lateRoom  = 0.3             // the share of servers at rest at which nothing late, which earns less, is sent any more
	// jamFrom is where a jam begins to be shed, and jamRoom above it all of it is: where
	// the mean answer takes so much of its aim, that of a queue a little longer is late.
	jamFrom, jamRoom = 0.45, 0.2
	jamMemory        = 2 * time.Second // an answer tells of the whole so long: a queue and a half
	spillFrom        = 0.1             // the share of near servers at rest up to which crossing zones is not worth its price
)

// queued learns from an attempt's end whether its server has a queue.
func (b *Balancer) queued(now time.Duration, r *request, s *server, took time.Duration, end Ending) {
	part := (float64(took) - slowWork*float64(r.work)) / float64(r.class.LatencyObjective)
	switch end {
	case Rejected:
		part = 1
	case Served, TimedOut:
	default:
		return // it tells of no queue
	}
	b.jam(now)
	b.waits, b.answers = b.waits+max(0, min(1, part)), b.answers+1
	if part > slowPart {
		pause := min(max(firstRest<<min(s.slow, 16), restFor*took), lastRest) // spread: balancers must not come back as one
		s.restTill = now + time.Duration(float64(pause)*(0.5+b.rng.Float64()))
		s.slow++
	} else if end == Served {
		s.slow = max(0, s.slow-1)
	}
}

// jam is what answers take of their aims lately, over all servers and one more at once:
// where a balancer meets each server seldom, rests tell of few, and this of the whole.
func (b *Balancer) jam(now time.Duration) float64 {
	f := math.Exp(-float64(now-b.waitsAt) / float64(jamMemory))
	b.waits, b.answers, b.waitsAt = b.waits*f, b.answers*f, now
	return b.waits / (b.answers + 1)
}

// shed says whether a request is refused at once: a late one as servers rest or jam, any as they
// jam or the fleet's word says. Each balancer sheds what it sees; the sum is what servers bear.
func (b *Balancer) shed(now time.Duration, late bool, advised float64) bool {
	jam, chance := b.jam(now), b.rng.Float64()
	if late {
		return chance < advised || b.thin && chance*lateRoom < max(b.atRest(now, false), jam-lateRoom)
	}
	return chance < advised || b.thin && chance*jamRoom < jam-jamFrom
}

// resting says whether a server is passed over for its queue.
func (b *Balancer) resting(now time.Duration, s *server) bool { return b.thin && now < s.restTill }

// atRest is the share of the ready servers, near ones or all, that get no turn for
// their queues or for what is held against them.
func (b *Balancer) atRest(now time.Duration, near bool) float64 {
	all, idle := 0.0, 0.0
	for _, s := range b.servers {
		if s.State != Ready || s.spare || (near && s.Zone != b.cfg.Zone) {
			continue
		}
		all += s.size
		if s.unwell || b.resting(now, s) || s.in.doubted {
			idle += s.size
		}
	}
	if all == 0 {
		return 1
	}
	return idle / all
}
