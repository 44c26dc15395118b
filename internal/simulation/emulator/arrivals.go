package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Call is a request of a client before its first attempt.
type Call struct {
	At          time.Duration // since the start of the run
	Sidecar     int
	Class       int
	Tenant      int
	Key         uint64
	Work        float64       // seconds on a core of speed 1
	Hint        time.Duration // the client's estimate of the work, sent with the request
	Weight      float64
	WithinQuota bool // whether the call is within its tenant's quota
}

// Arrivals draws the calls of a run in order of time. They depend only on the scenario and the seed, not
// on servers or sidecars, so that all variants, and runs on real sockets, get the same calls.
type Arrivals struct {
	scenario      *Scenario
	next          callHeap // the next candidate of each sidecar, by time
	rates         []float64
	timeSources   []*rand.Rand // random sources of arrival times, by sidecar
	contentSource *rand.Rand   // random source of the calls' contents
	classes       distuv.Categorical
	tenants       distuv.Categorical
	keys          distuv.Categorical
	quota         []tokenBucket // by tenant
	tenantShares  []float64     // each tenant's fraction of the calls without bursts
	maxRateFactor float64       // upper bound of the rate, as a multiple of its mean
}

type callHeap []struct {
	at      time.Duration
	sidecar int
}

func (c callHeap) Len() int { return len(c) }
func (c callHeap) Less(i, j int) bool {
	return c[i].at < c[j].at || (c[i].at == c[j].at && c[i].sidecar < c[j].sidecar)
}
func (c callHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c callHeap) Push(any)      { panic("arrivals: the heap always holds one call per sidecar") }
func (c callHeap) Pop() any      { panic("arrivals: the heap always holds one call per sidecar") }

// tokenBucket limits a tenant to its quota: a call beyond it has a reduced weight.
type tokenBucket struct {
	rate, level float64
	refilledAt  time.Duration
}

// burstSeconds is the capacity of a tenant's token bucket, in seconds of its quota.
const burstSeconds = 2.0

func (b *tokenBucket) take(now time.Duration) bool {
	b.level = min(b.rate*burstSeconds, b.level+(now-b.refilledAt).Seconds()*b.rate)
	b.refilledAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// NewArrivals returns the arrivals of a run. The scenario must have passed Check.
func NewArrivals(sc *Scenario, seed uint64) *Arrivals {
	a := &Arrivals{scenario: sc, contentSource: source(seed, streamClients, 0), maxRateFactor: 1 + sc.Clients.Swing}
	var classes, tenants []float64
	for _, k := range sc.Classes {
		classes = append(classes, k.Share)
	}
	requested := 0.0
	for i, t := range sc.Tenants {
		tenants = append(tenants, t.Share*t.Usage)
		requested += t.Share * t.Usage
		q := sc.quota(i)
		a.quota = append(a.quota, tokenBucket{rate: q, level: q * burstSeconds})
	}
	if requested == 0 {
		tenants[0], requested = 1, 1 // at least one tenant must send requests
	}
	for _, t := range tenants {
		a.tenantShares = append(a.tenantShares, t/requested)
	}
	keys := make([]float64, sc.Keys.Count)
	for i := range keys {
		keys[i] = math.Pow(float64(i+1), -sc.Keys.Zipf)
	}
	a.classes, a.tenants, a.keys = distuv.NewCategorical(classes, a.contentSource), distuv.NewCategorical(tenants, a.contentSource), distuv.NewCategorical(keys, a.contentSource)
	for _, t := range sc.Faults {
		if t.Name == "burst" {
			a.maxRateFactor *= max(1, a.burstFactor(t))
		}
	}
	a.divideTraffic()
	for i := range a.rates {
		a.timeSources = append(a.timeSources, source(seed, streamArrivals, i))
		a.next = append(a.next, struct {
			at      time.Duration
			sidecar int
		}{a.drawInterval(i), i})
	}
	heap.Init(a.next)
	return a
}

// divideTraffic divides the traffic among the sidecars, with the scenario's variation and zone skew.
func (a *Arrivals) divideTraffic() {
	sc, sum := a.scenario, 0.0
	for i := range sc.Sidecars {
		rate := lognormal(1, sc.Clients.TrafficCV, a.contentSource)
		if len(sc.Zones) > 1 {
			rate *= choose(sc.ZoneOf(i) == 0, 1+sc.Clients.ZoneSkew, 1-sc.Clients.ZoneSkew/float64(len(sc.Zones)-1))
		}
		sum += rate
		a.rates = append(a.rates, rate)
	}
	for i := range a.rates {
		a.rates[i] *= sc.Rate() / sum
	}
}

// ZoneOf returns the zone of a sidecar.
func (s *Scenario) ZoneOf(sidecar int) int { return sidecar % len(s.Zones) }

// drawInterval draws the time to a sidecar's next candidate at the maximum rate. Next thins the
// candidates to the current rate, which gives an inhomogeneous Poisson process.
func (a *Arrivals) drawInterval(sidecar int) time.Duration {
	if rate := a.rates[sidecar] * a.maxRateFactor; rate > 0 {
		return time.Duration(min(distuv.Exponential{Rate: rate, Src: a.timeSources[sidecar]}.Rand(), maxLength.Seconds()*2) * float64(time.Second))
	}
	return maxLength * 2
}

// rateAt returns the rate at a time, as a multiple of the mean.
func (a *Arrivals) rateAt(at time.Duration) float64 {
	level := 1 + a.scenario.Clients.Swing*math.Sin(2*math.Pi*at.Seconds()/a.scenario.Clients.SwingTime.seconds())
	for _, t := range a.scenario.Faults {
		if t.Name == "burst" && t.activeAt(at) {
			level *= a.burstFactor(t)
		}
	}
	return level
}

// burstFactor returns by how much a burst multiplies the total traffic. A burst of one tenant contributes
// in proportion to the tenant's share.
func (a *Arrivals) burstFactor(t Fault) float64 {
	if i := a.scenario.tenant(t.Tenant); i >= 0 {
		return 1 + a.tenantShares[i]*(t.Size-1)
	}
	return t.Size
}

// drawTenant draws the tenant of a call. A tenant with an active burst is drawn more often.
func (a *Arrivals) drawTenant(at time.Duration) int {
	for _, t := range a.scenario.Faults {
		if i := a.scenario.tenant(t.Tenant); i >= 0 && t.Name == "burst" && t.activeAt(at) {
			if factor := a.burstFactor(t); a.contentSource.Float64()*factor < factor-1 {
				return i
			}
		}
	}
	return int(a.tenants.Rand())
}

// tenant returns the index of a tenant by its name, or -1.
func (s *Scenario) tenant(name string) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return name != "" && t.Name == name })
}

// activeAt reports whether the fault is active at a time.
func (t Fault) activeAt(at time.Duration) bool {
	return at >= time.Duration(t.Start) && at < time.Duration(t.Start)+time.Duration(t.Duration)
}

// Next returns the next call, or false after the scenario's length.
func (a *Arrivals) Next() (Call, bool) {
	for a.next[0].at < time.Duration(a.scenario.Length) {
		at, i := a.next[0].at, a.next[0].sidecar
		a.next[0].at = at + a.drawInterval(i)
		heap.Fix(a.next, 0)
		if a.timeSources[i].Float64()*a.maxRateFactor < a.rateAt(at) {
			return a.draw(at, i), true
		}
	}
	return Call{}, false
}

// hintSpread is the coefficient of variation of the clients' estimates of a request's work.
const hintSpread = 0.3

// draw draws the contents of a call.
func (a *Arrivals) draw(at time.Duration, sidecar int) Call {
	c := Call{At: at, Sidecar: sidecar, Class: int(a.classes.Rand()), Tenant: a.drawTenant(at), Key: uint64(a.keys.Rand()) + 1}
	class := a.scenario.Classes[c.Class]
	if class.Tail == "pareto" {
		c.Work = pareto(class.Work.seconds(), class.WorkCV, a.contentSource)
	} else {
		c.Work = lognormal(class.Work.seconds(), class.WorkCV, a.contentSource)
	}
	for _, t := range a.scenario.Faults {
		if t.Name == "heavy_tail" && c.Class == 0 && t.activeAt(at) && a.contentSource.Float64() < t.Part {
			c.Work *= t.Size
		}
	}
	c.Work = min(c.Work, class.Deadline.seconds()) // more work could not be served before the deadline
	c.Hint = time.Duration(lognormal(c.Work, hintSpread, a.contentSource) * float64(time.Second))
	c.Weight = class.PriorityWeight * c.Work
	if c.WithinQuota = a.quota[c.Tenant].take(at); !c.WithinQuota {
		c.Weight *= a.scenario.Prices.OverShare
	}
	return c
}

// lognormal draws from a log-normal distribution with the given mean and coefficient of variation.
func lognormal(mean, cv float64, src rand.Source) float64 {
	if cv == 0 {
		return mean
	}
	sigma2 := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - sigma2/2, Sigma: math.Sqrt(sigma2), Src: src}.Rand()
}

// pareto draws from a Pareto distribution with the given mean and coefficient of variation.
func pareto(mean, cv float64, src rand.Source) float64 {
	if cv == 0 {
		return mean
	}
	alpha := 1 + math.Sqrt(1+1/(cv*cv))
	return distuv.Pareto{Xm: mean * (alpha - 1) / alpha, Alpha: alpha, Src: src}.Rand()
}

// source returns the random source of one stream and index.
func source(seed uint64, stream, index int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(index)<<8|uint64(stream)))
}
