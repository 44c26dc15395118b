package policy

import (
	"math"
	"time"
)

// congestion is what answers take of their aims lately, over all servers and one more at once:
// where a balancer meets each server seldom, rests tell of few, and this of the whole.
func (b *Balancer) congestion(now time.Duration) float64 {
	f := math.Exp(-float64(now-b.congestionAt) / float64(congestionMemory))
	b.congestionSum, b.congestionWeight, b.congestionAt = b.congestionSum*f, b.congestionWeight*f, now
	return b.congestionSum / (b.congestionWeight + 1)
}

// shouldShed says whether a request is refused at once: a late one as servers rest or jam, any as they
// jam or the fleet's word says. Each balancer sheds what it sees; the sum is what servers bear.
func (b *Balancer) shouldShed(now time.Duration, late bool, advised float64) bool {
	jam, chance := b.congestion(now), b.rng.Float64()
	if late {
		return chance < advised || b.lowTraffic && chance*lateSheddingRange < max(b.ejectedShare(now, false), jam-lateSheddingRange)
	}
	return chance < advised || b.lowTraffic && chance*sheddingRange < jam-sheddingThreshold
}

// Congestion tells what answers took of their aims lately.
func (b *Balancer) Congestion(now time.Duration) float64 { return b.congestion(now) }
