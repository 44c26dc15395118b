package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"barleywick/policy"
)

// clients are the callers: one group beside each sidecar. First tries come whatever
// becomes of them; the clients' randomness is theirs alone, so that two variants are
// asked for the same.
type clients struct {
	sim     *Sim
	groups  []*group
	ids     policy.RequestID
	classes distuv.Categorical
	tenants distuv.Categorical
	keys    distuv.Categorical
	pull    *rand.Rand // of the shared draws
	quota   []bucket   // by tenant
}

// group is what calls one sidecar.
type group struct {
	node *node
	rate float64    // first tries a second, on average
	rng  *rand.Rand // of its arrivals
	mood *rand.Rand // of what it does about the answers
}

// call is what a client wants: a first try and its further ones.
type call struct {
	class, tenant int
	key           uint64
	work          float64 // seconds on a core of speed 1
	hint          time.Duration
	began         time.Duration
	aimAt         time.Duration
	deadline      time.Duration
	worth         float64
	tries         int
	group         *group
	within        bool // its tenant's share
	refusedOnly   bool // no try got further than a refusal
	done          bool
}

// bucket is a tenant's share: what comes beyond it is worth little.
type bucket struct {
	rate, level float64
	at          time.Duration
}

// bucketTime is how much of its share a tenant may save up.
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

func newClients(s *Sim) *clients {
	c := &clients{sim: s, pull: rand.New(rand.NewPCG(s.seed, streamClients))}
	var classes, tenants []float64
	for _, k := range s.sc.Classes {
		classes = append(classes, k.Share)
	}
	for i, t := range s.sc.Tenants {
		tenants = append(tenants, t.Share*t.Usage)
		q := s.sc.quota(i)
		c.quota = append(c.quota, bucket{rate: q, level: q * bucketTime, at: s.now})
	}
	keys := make([]float64, s.sc.Keys.Count)
	for i := range keys {
		keys[i] = math.Pow(float64(i+1), -s.sc.Keys.Zipf)
	}
	c.classes, c.keys = distuv.NewCategorical(classes, c.pull), distuv.NewCategorical(keys, c.pull)
	total := 0.0
	for _, w := range tenants {
		total += w
	}
	if total == 0 {
		tenants[0] = 1
	}
	c.tenants = distuv.NewCategorical(tenants, c.pull)
	c.share()
	return c
}

// share divides the traffic among the sidecars, unevenly as the scenario says.
func (c *clients) share() {
	sc, sum := c.sim.sc, 0.0
	for _, n := range c.sim.nodes {
		g := &group{node: n, rate: 1, rng: c.sim.source(streamArrivals, n.index), mood: c.sim.source(streamMoods, n.index)}
		if sc.Clients.Uneven > 0 {
			g.rate = lognormal(1, sc.Clients.Uneven, c.pull)
		}
		if len(sc.Zones) > 1 {
			g.rate *= pick(n.zone == 0, 1+sc.Clients.ZoneSkew, 1-sc.Clients.ZoneSkew/float64(len(sc.Zones)-1))
		}
		sum += g.rate
		c.groups = append(c.groups, g)
	}
	for _, g := range c.groups {
		g.rate *= sc.rate() / sum
	}
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

func (c *clients) begin() {
	for _, g := range c.groups {
		c.next(g)
	}
}

// resume goes on with a sidecar that is back.
func (c *clients) resume(n *node) { c.next(c.groups[n.index]) }

// most is how far above its mean the arrival rate may rise by wave and burst: draws
// are thinned from there, which keeps them Poisson.
func (c *clients) most() float64 {
	most := 1.0
	for _, t := range c.sim.sc.Troubles {
		if t.Name == "burst" {
			most *= max(1, t.Size)
		}
	}
	return most * (1 + c.sim.sc.Clients.Swing)
}

// next plans a group's next first try.
func (c *clients) next(g *group) {
	s := c.sim
	if g.rate <= 0 {
		return
	}
	most := c.most()
	g.node.mine(time.Duration(distuv.Exponential{Rate: g.rate * most, Src: g.rng}.Rand()*float64(time.Second)), func() {
		if s.now >= dawn+time.Duration(s.sc.Length) {
			return
		}
		wave := 1 + s.sc.Clients.Swing*math.Sin(2*math.Pi*(s.now-dawn).Seconds()/s.sc.Clients.SwingTime.seconds())
		if g.rng.Float64()*most < wave*s.surge {
			c.first(g)
		}
		c.next(g)
	})
}

// hintSpread is how rough the hint of a request's work is.
const hintSpread = 0.3

// first draws a call and makes its first try.
func (c *clients) first(g *group) {
	s := c.sim
	k := &call{group: g, class: int(c.classes.Rand()), tenant: int(c.tenants.Rand()), key: uint64(c.keys.Rand()) + 1, began: s.now, refusedOnly: true}
	class := s.sc.Classes[k.class]
	if class.Tail == "pareto" {
		k.work = pareto(class.Work.seconds(), class.Spread, c.pull)
	} else {
		k.work = lognormal(class.Work.seconds(), class.Spread, c.pull)
	}
	if k.class == 0 && s.heavyPart > 0 && c.pull.Float64() < s.heavyPart {
		k.work *= s.heavySize
	}
	k.work = min(k.work, class.Deadline.seconds()) // more could never be served
	k.hint = time.Duration(lognormal(k.work, hintSpread, c.pull) * float64(time.Second))
	k.aimAt, k.deadline = s.now+time.Duration(class.Aim), s.now+time.Duration(class.Deadline)
	k.worth = class.Worth * k.work
	if k.within = c.quota[k.tenant].within(s.now); !k.within {
		k.worth *= s.sc.Prices.OverShare
	}
	s.rec.asked(k)
	c.try(k)
}

// try makes a try of a call, if there is time.
func (c *clients) try(k *call) {
	s, n := c.sim, k.group.node
	left := time.Duration(float64(k.deadline-s.now) * s.sc.Clients.TryShare)
	if k.done || !n.up || left < time.Millisecond {
		c.end(k)
		return
	}
	k.tries++
	c.ids++
	r := &request{id: c.ids, call: k, deadline: s.now + left}
	if g := k.group.mood; g.Float64() < s.sc.Clients.Leave {
		n.mine(time.Duration(g.Float64()*float64(left)), func() {
			if !r.over {
				r.over = true
				s.check.Left(r.id)
				n.b.ClientGone(s.now, r.id)
				n.forget(r)
				k.done = true
				s.rec.left(k)
			}
		})
	}
	n.take(r, k.hint)
}

// answered takes a final answer to a try.
func (c *clients) answered(r *request, a Answer, pause time.Duration) {
	s, k := c.sim, r.call
	s.rec.answered(s, k, a)
	if a == AnswerServed {
		k.done = true
		return
	}
	class := s.sc.Classes[k.class]
	again := a == AnswerRefused || class.Effect == "safe" || (class.Effect == "keyed" && class.Group == "all")
	if a != AnswerRefused {
		k.refusedOnly = false
	}
	if !again || k.tries > s.sc.Clients.Retries {
		c.end(k)
		return
	}
	wait := time.Duration(float64(s.sc.Clients.Backoff) * math.Pow(2, float64(k.tries-1)) * (0.5 + k.group.mood.Float64()))
	if k.group.mood.Float64() < s.sc.Clients.Honour {
		wait = max(wait, min(pause, time.Duration(s.sc.Rules.RetryAfter)))
	}
	k.group.node.mine(wait, func() { c.try(k) })
}

// lost takes a try that had no answer at all.
func (c *clients) lost(r *request) {
	r.call.refusedOnly = false
	c.end(r.call)
}

// end gives a call up.
func (c *clients) end(k *call) {
	if !k.done {
		k.done = true
		c.sim.rec.unserved(c.sim, k)
	}
}
