package policy

import (
	"math"
	"time"
)

const (
	// Load shedding starts at sheddingThreshold and covers all requests at sheddingRange above it. When the
	// average response takes that share of its objective, slightly longer queues make responses late.
	sheddingThreshold, sheddingRange = 0.45, 0.2
	// lateSheddingRange is the share of ejected servers at which all late requests are shed, since their
	// responses have less value.
	lateSheddingRange = 0.3
	// congestionTimeConstant is the time constant of the estimate's exponential decay, about the time to work
	// off one and a half queues.
	congestionTimeConstant = 2 * time.Second
)

// congestionEstimate is a decaying average over recent attempts at all servers: the time that each took beyond
// slowWorkFactor times its expected work, as a fraction of its latency objective; 1 for a rejected attempt. A
// balancer that sends few requests to each server ejects few servers, so it also needs this overall estimate.
type congestionEstimate struct {
	shares    float64 // sum, which decays with time
	responses float64 // number of responses, which decays likewise
	at        time.Duration
}

// level returns the congestion now. It includes one virtual response that took no time, so that a few
// responses have little influence.
func (c *congestionEstimate) level(now time.Duration) float64 {
	c.decay(now)
	return c.shares / (c.responses + 1)
}

// add records the share of its objective that a response took.
func (c *congestionEstimate) add(now time.Duration, share float64) {
	c.decay(now)
	c.shares += share
	c.responses++
}

func (c *congestionEstimate) decay(now time.Duration) {
	factor := math.Exp(-float64(now-c.at) / float64(congestionTimeConstant))
	c.shares *= factor
	c.responses *= factor
	c.at = now
}

// Congestion returns the average share of their objective that recent responses took.
func (b *Balancer) Congestion(now time.Duration) float64 { return b.congestion.level(now) }

// shouldShed reports whether to refuse a request on arrival: any request because of congestion or overload
// advice, and a late one also because of ejected servers. Each balancer sheds by its own observations, which
// together keep the load within the capacity of the servers.
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
