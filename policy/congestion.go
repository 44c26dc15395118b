package policy

import (
	"math"
	"time"
)

const (
	// Load shedding begins at sheddingThreshold and includes all requests sheddingRange above it. If the
	// average answer takes so much of its objective, an answer from a slightly longer queue is late.
	sheddingThreshold, sheddingRange = 0.45, 0.2
	// lateSheddingRange is the share of ejected servers at which no late request, which earns less, is
	// sent any more.
	lateSheddingRange = 0.3
	// congestionMemory is how long an answer counts: as long as one and a half queues.
	congestionMemory = 2 * time.Second
)

// congestionEstimate is the average share of their objective that recent answers took, over all
// servers. A balancer that meets each server seldom sees few ejections; this shows the whole.
type congestionEstimate struct {
	shares  float64 // sum, which decays with time
	answers float64 // number of answers, which decays likewise
	at      time.Duration
}

// level is the congestion now. One more answer that took no time counts, so that few answers say little.
func (c *congestionEstimate) level(now time.Duration) float64 {
	c.decay(now)
	return c.shares / (c.answers + 1)
}

// add takes the share of its objective that an answer took.
func (c *congestionEstimate) add(now time.Duration, share float64) {
	c.decay(now)
	c.shares += share
	c.answers++
}

func (c *congestionEstimate) decay(now time.Duration) {
	factor := math.Exp(-float64(now-c.at) / float64(congestionMemory))
	c.shares *= factor
	c.answers *= factor
	c.at = now
}

// Congestion returns the share of their objective that recent answers took.
func (b *Balancer) Congestion(now time.Duration) float64 { return b.congestion.level(now) }

// shouldShed says whether a request is refused at once: any request because of congestion or
// overload advice, a late one also because servers are ejected. Each balancer sheds by what it
// sees, and the sum is what the servers can bear.
func (b *Balancer) shouldShed(now time.Duration, late bool, rejectedShare float64) bool {
	level := b.congestion.level(now)
	draw := b.rng.Float64()
	switch {
	case draw < rejectedShare:
		return true
	case !b.traffic.low:
		return false
	case late:
		return draw*lateSheddingRange < max(b.ejectedShare(now, false), level-lateSheddingRange)
	}
	return draw*sheddingRange < level-sheddingThreshold
}
