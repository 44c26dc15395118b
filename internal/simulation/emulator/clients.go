package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"barleywick/policy"
)

// clients are the callers, one group beside each sidecar: what they ask for is drawn
// by Arrivals, what they do about the answers here.
type clients struct {
	sim      *Sim
	arrivals *Arrivals
	moods    []*rand.Rand // by sidecar
	ids      policy.RequestID
}

// call is a Call under way.
type call struct {
	Call
	node        *node
	began       time.Duration
	aimAt       time.Duration
	deadline    time.Duration
	tries       int
	refusedOnly bool   // no try got further than a refusal
	cause       string // what became of the last try
	done        bool
}

func newClients(s *Sim) *clients {
	c := &clients{sim: s, arrivals: NewArrivals(s.sc, s.seed)}
	for i := range s.sc.Sidecars {
		c.moods = append(c.moods, source(s.seed, streamMoods, i))
	}
	return c
}

// begin plans the next call, and so on to the end of the day.
func (c *clients) begin() {
	next, more := c.arrivals.Next()
	if !more {
		return
	}
	c.sim.plan(Dawn+next.At, func() {
		c.first(next)
		c.begin()
	})
}

// first makes a call's first try. A client goes and comes with its sidecar: where
// that is not up there is nobody to ask.
func (c *clients) first(next Call) {
	s, n := c.sim, c.sim.nodes[next.Sidecar]
	if !n.up || n.leaving {
		return
	}
	class := s.sc.Classes[next.Class]
	k := &call{Call: next, node: n, began: s.now, aimAt: s.now + time.Duration(class.Aim), deadline: s.now + time.Duration(class.Deadline), refusedOnly: true}
	s.rec.Asked(next)
	c.try(k)
}

// try makes a try of a call, if there is time.
func (c *clients) try(k *call) {
	s, n := c.sim, k.node
	left := time.Duration(float64(k.deadline-s.now) * s.sc.Clients.TryShare)
	if k.done || left < time.Millisecond {
		c.end(k)
		return
	}
	k.tries++
	c.ids++
	r := &request{id: c.ids, call: k, deadline: s.now + left}
	if mood := c.moods[n.index]; mood.Float64() < s.sc.Clients.Leave {
		n.mine(time.Duration(mood.Float64()*float64(left)), func() {
			if !r.over {
				r.over = true
				s.check.Left(r.id)
				n.b.ClientGone(s.now, r.id)
				n.forget(r)
				k.done = true
				s.rec.Left(k.Call)
			}
		})
	}
	n.take(r, k.Hint)
}

// answered takes a final answer to a try.
func (c *clients) answered(r *request, a Answer, pause time.Duration) {
	s, k := c.sim, r.call
	s.rec.Tries++
	if k.done {
		return
	}
	if a == AnswerServed {
		k.done = true
		took, late := s.now-k.began, ""
		if s.now > k.aimAt {
			late = r.lateness(s.now)
		}
		s.rec.Served(k.Call, took, late)
		return
	}
	class := s.sc.Classes[k.Class]
	if k.cause = r.refusal(s.now); a != AnswerRefused {
		k.cause, k.refusedOnly = r.failure(), false
	}
	if !class.Again(a) || k.tries > s.sc.Clients.Retries {
		c.end(k)
		return
	}
	epoch := k.node.epoch
	s.after(s.sc.Clients.Wait(k.tries, pause, time.Duration(s.sc.Rules.RetryAfter), c.moods[k.node.index]), func() {
		if k.node.epoch != epoch || k.node.leaving {
			c.killed(k)
			return
		}
		c.try(k)
	})
}

// Again says whether a client tries again after an answer: after a refusal, and after
// a failure where a repeat is dropped by whoever gets it.
func (c Class) Again(a Answer) bool {
	return a == AnswerRefused || a == AnswerFailed && (c.Effect == "safe" || c.Effect == "keyed" && c.Group == "all")
}

// Wait is how long a client stays away after its nth try: its own backoff, and what
// the answer asked for if it heeds that.
func (c Clients) Wait(n int, asked, most time.Duration, rng *rand.Rand) time.Duration {
	wait := time.Duration(float64(c.Backoff) * math.Pow(2, float64(n-1)) * (0.5 + rng.Float64()))
	if rng.Float64() < c.Honour {
		wait = max(wait, min(asked, most))
	}
	return wait
}

// killed takes that a call has ended with its sidecar, and its client with it.
func (c *clients) killed(k *call) {
	k.cause, k.refusedOnly = causeKilled, false
	c.end(k)
}

// lost takes a try that had no answer at all.
func (c *clients) lost(r *request) {
	r.call.refusedOnly, r.call.cause = false, causeNoAnswer
	c.end(r.call)
}

// end gives a call up.
func (c *clients) end(k *call) {
	if !k.done {
		k.done = true
		c.sim.rec.Unserved(k.Call, k.refusedOnly, c.sim.now-k.began, k.cause)
	}
}
