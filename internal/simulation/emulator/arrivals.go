package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Call is what a client wants: a first try, whatever becomes of it.
type Call struct {
	At      time.Duration // since the day's begin
	Sidecar int
	Class   int
	Tenant  int
	Key     uint64
	Work    float64       // seconds on a core of speed 1
	Hint    time.Duration // of it, as the client gives it
	Worth   float64
	Within  bool // its tenant's share
}

// Arrivals draws the calls of a day, in time. They follow from scenario and seed
// alone: nothing that servers or sidecars do moves them, so that all variants, and
// real sockets too, are asked for the same.
type Arrivals struct {
	sc      *Scenario
	next    calls // one of each sidecar, by time
	rates   []float64
	rngs    []*rand.Rand // by sidecar, for the times
	pull    *rand.Rand   // for what is asked
	classes distuv.Categorical
	tenants distuv.Categorical
	keys    distuv.Categorical
	quota   []bucket  // by tenant
	usual   []float64 // each tenant's part of what is asked for on an ordinary day
	most    float64   // how far above its mean the rate may rise
}

type calls []struct {
	at      time.Duration
	sidecar int
}

func (c calls) Len() int { return len(c) }
func (c calls) Less(i, j int) bool {
	return c[i].at < c[j].at || (c[i].at == c[j].at && c[i].sidecar < c[j].sidecar)
}
func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c calls) Push(any)      { panic("one call of each sidecar, always") }
func (c calls) Pop() any      { panic("one call of each sidecar, always") }

// bucket is a tenant's share: what comes beyond it is worth little.
type bucket struct {
	rate, level float64
	at          time.Duration
}

// bucketTime is how many seconds of its share a tenant may save up.
const bucketTime = 2.0

func (b *bucket) within(now time.Duration) bool {
	b.level = min(b.rate*bucketTime, b.level+(now-b.at).Seconds()*b.rate)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// NewArrivals makes the arrivals of a day. The scenario must be usable.
func NewArrivals(sc *Scenario, seed uint64) *Arrivals {
	a := &Arrivals{sc: sc, pull: source(seed, streamClients, 0), most: 1 + sc.Clients.Swing}
	var classes, tenants []float64
	for _, k := range sc.Classes {
		classes = append(classes, k.Share)
	}
	asked := 0.0
	for i, t := range sc.Tenants {
		tenants = append(tenants, t.Share*t.Usage)
		asked += t.Share * t.Usage
		q := sc.quota(i)
		a.quota = append(a.quota, bucket{rate: q, level: q * bucketTime})
	}
	if asked == 0 {
		tenants[0], asked = 1, 1 // somebody has to ask
	}
	for _, t := range tenants {
		a.usual = append(a.usual, t/asked)
	}
	keys := make([]float64, sc.Keys.Count)
	for i := range keys {
		keys[i] = math.Pow(float64(i+1), -sc.Keys.Zipf)
	}
	a.classes, a.tenants, a.keys = distuv.NewCategorical(classes, a.pull), distuv.NewCategorical(tenants, a.pull), distuv.NewCategorical(keys, a.pull)
	for _, t := range sc.Troubles {
		if t.Name == "burst" {
			a.most *= max(1, a.times(t))
		}
	}
	a.share()
	for i := range a.rates {
		a.rngs = append(a.rngs, source(seed, streamArrivals, i))
		a.next = append(a.next, struct {
			at      time.Duration
			sidecar int
		}{a.gap(i), i})
	}
	heap.Init(a.next)
	return a
}

// share divides the traffic among the sidecars, unevenly as the scenario says.
func (a *Arrivals) share() {
	sc, sum := a.sc, 0.0
	for i := range sc.Sidecars {
		rate := lognormal(1, sc.Clients.Uneven, a.pull)
		if len(sc.Zones) > 1 {
			rate *= pick(sc.ZoneOf(i) == 0, 1+sc.Clients.ZoneSkew, 1-sc.Clients.ZoneSkew/float64(len(sc.Zones)-1))
		}
		sum += rate
		a.rates = append(a.rates, rate)
	}
	for i := range a.rates {
		a.rates[i] *= sc.Rate() / sum
	}
}

// ZoneOf is the zone of a sidecar.
func (s *Scenario) ZoneOf(sidecar int) int { return sidecar % len(s.Zones) }

// gap draws the time to a sidecar's next candidate, at the highest rate there may be:
// candidates are thinned to the rate of their time, which keeps them Poisson.
func (a *Arrivals) gap(sidecar int) time.Duration {
	if rate := a.rates[sidecar] * a.most; rate > 0 {
		return time.Duration(min(distuv.Exponential{Rate: rate, Src: a.rngs[sidecar]}.Rand(), maxLength.Seconds()*2) * float64(time.Second))
	}
	return maxLength * 2
}

// level is the rate at a time, in parts of the mean.
func (a *Arrivals) level(at time.Duration) float64 {
	level := 1 + a.sc.Clients.Swing*math.Sin(2*math.Pi*at.Seconds()/a.sc.Clients.SwingTime.seconds())
	for _, t := range a.sc.Troubles {
		if t.Name == "burst" && t.on(at) {
			level *= a.times(t)
		}
	}
	return level
}

// times is by how much a burst makes all that is asked more: one tenant's alone by that one's part.
func (a *Arrivals) times(t Trouble) float64 {
	if i := a.sc.tenant(t.Tenant); i >= 0 {
		return 1 + a.usual[i]*(t.Size-1)
	}
	return t.Size
}

// whose draws the tenant of a call, of whom one may ask for more.
func (a *Arrivals) whose(at time.Duration) int {
	for _, t := range a.sc.Troubles {
		if i := a.sc.tenant(t.Tenant); i >= 0 && t.Name == "burst" && t.on(at) {
			if all := a.times(t); a.pull.Float64()*all < all-1 {
				return i
			}
		}
	}
	return int(a.tenants.Rand())
}

// tenant is the place of a tenant by its name, or -1.
func (s *Scenario) tenant(name string) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return name != "" && t.Name == name })
}

// on says whether it is the trouble's time.
func (t Trouble) on(at time.Duration) bool {
	return at >= time.Duration(t.At) && at < time.Duration(t.At)+time.Duration(t.For)
}

// Next is the next call; there is none after the scenario's length.
func (a *Arrivals) Next() (Call, bool) {
	for a.next[0].at < time.Duration(a.sc.Length) {
		at, i := a.next[0].at, a.next[0].sidecar
		a.next[0].at = at + a.gap(i)
		heap.Fix(a.next, 0)
		if a.rngs[i].Float64()*a.most < a.level(at) {
			return a.draw(at, i), true
		}
	}
	return Call{}, false
}

// hintSpread is how rough the hint of a request's work is.
const hintSpread = 0.3

// draw draws what a call asks for.
func (a *Arrivals) draw(at time.Duration, sidecar int) Call {
	c := Call{At: at, Sidecar: sidecar, Class: int(a.classes.Rand()), Tenant: a.whose(at), Key: uint64(a.keys.Rand()) + 1}
	class := a.sc.Classes[c.Class]
	if class.Tail == "pareto" {
		c.Work = pareto(class.Work.seconds(), class.Spread, a.pull)
	} else {
		c.Work = lognormal(class.Work.seconds(), class.Spread, a.pull)
	}
	for _, t := range a.sc.Troubles {
		if t.Name == "heavy_tail" && c.Class == 0 && t.on(at) && a.pull.Float64() < t.Part {
			c.Work *= t.Size
		}
	}
	c.Work = min(c.Work, class.Deadline.seconds()) // more could never be served
	c.Hint = time.Duration(lognormal(c.Work, hintSpread, a.pull) * float64(time.Second))
	c.Worth = class.Worth * c.Work
	if c.Within = a.quota[c.Tenant].within(at); !c.Within {
		c.Worth *= a.sc.Prices.OverShare
	}
	return c
}

// lognormal draws with a mean and a coefficient of variation.
func lognormal(mean, cv float64, src rand.Source) float64 {
	if cv == 0 {
		return mean
	}
	sigma2 := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - sigma2/2, Sigma: math.Sqrt(sigma2), Src: src}.Rand()
}

// pareto draws with a mean and a coefficient of variation.
func pareto(mean, cv float64, src rand.Source) float64 {
	if cv == 0 {
		return mean
	}
	alpha := 1 + math.Sqrt(1+1/(cv*cv))
	return distuv.Pareto{Xm: mean * (alpha - 1) / alpha, Alpha: alpha, Src: src}.Rand()
}

// source is a random source of one of many of a kind.
func source(seed uint64, stream, index int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(index)<<8|uint64(stream)))
}
