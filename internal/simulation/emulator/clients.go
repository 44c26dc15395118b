package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"barleywick/policy"
)

// clients models the clients, one group beside each sidecar. Arrivals draws their calls; clients draws
// their reactions to the answers.
type clients struct {
	sim           *Sim
	arrivals      *Arrivals
	choiceSources []*rand.Rand // random sources of the reactions, by sidecar
	lastID        policy.RequestID
}

// call is a Call in progress.
type call struct {
	Call
	node        *node
	startedAt   time.Duration
	objectiveAt time.Duration
	deadline    time.Duration
	attempts    int
	refusedOnly bool   // all attempts were refused
	cause       string // cause of the last attempt's failure
	done        bool
}

func newClients(s *Sim) *clients {
	c := &clients{sim: s, arrivals: NewArrivals(s.scenario, s.seed)}
	for i := range s.scenario.Sidecars {
		c.choiceSources = append(c.choiceSources, source(s.seed, streamClientChoices, i))
	}
	return c
}

// scheduleNext schedules the next call, which schedules its successor, until the end of the run.
func (c *clients) scheduleNext() {
	next, more := c.arrivals.Next()
	if !more {
		return
	}
	c.sim.schedule(StartTime+next.At, func() {
		c.start(next)
		c.scheduleNext()
	})
}

// start makes the first attempt of a call. A client runs only while its sidecar does: without a running
// sidecar the call is dropped.
func (c *clients) start(next Call) {
	s, n := c.sim, c.sim.nodes[next.Sidecar]
	if !n.up || n.shuttingDown {
		return
	}
	class := s.scenario.Classes[next.Class]
	k := &call{Call: next, node: n, startedAt: s.now, objectiveAt: s.now + time.Duration(class.LatencyObjective), deadline: s.now + time.Duration(class.Deadline), refusedOnly: true}
	s.record.AddRequest(next)
	c.attempt(k)
}

// attempt makes an attempt of a call, if enough time is left.
func (c *clients) attempt(k *call) {
	s, n := c.sim, k.node
	left := time.Duration(float64(k.deadline-s.now) * s.scenario.Clients.AttemptShare)
	if k.done || left < time.Millisecond {
		c.endUnserved(k)
		return
	}
	k.attempts++
	c.lastID++
	r := &request{id: c.lastID, call: k, deadline: s.now + left}
	if rng := c.choiceSources[n.index]; rng.Float64() < s.scenario.Clients.AbandonRate {
		n.afterInEpoch(time.Duration(rng.Float64()*float64(left)), func() {
			if !r.closed {
				r.closed = true
				s.checker.ClientGone(r.id)
				n.decider.ClientGone(s.now, r.id)
				n.forget(r)
				k.done = true
				s.record.AddAbandoned(k.Call)
			}
		})
	}
	n.receive(r, k.Hint)
}

// answered handles the final answer to an attempt.
func (c *clients) answered(r *request, a Answer, pause time.Duration) {
	s, k := c.sim, r.call
	s.record.ClientAttempts++
	if k.done {
		return
	}
	if a == AnswerServed {
		k.done = true
		took, late := s.now-k.startedAt, ""
		if s.now > k.objectiveAt {
			late = r.latenessCause(s.now)
		}
		s.record.AddServed(k.Call, took, late)
		return
	}
	class := s.scenario.Classes[k.Class]
	if k.cause = r.refusalCause(s.now); a != AnswerRefused {
		k.cause, k.refusedOnly = r.failureCause(), false
	}
	if !class.RetriesAfter(a) || k.attempts > s.scenario.Clients.Retries {
		c.endUnserved(k)
		return
	}
	epoch := k.node.epoch
	s.after(s.scenario.Clients.RetryDelay(k.attempts, pause, time.Duration(s.scenario.Rules.RetryAfter), c.choiceSources[k.node.index]), func() {
		if k.node.epoch != epoch || k.node.shuttingDown {
			c.sidecarEnded(k)
			return
		}
		c.attempt(k)
	})
}

// RetriesAfter reports whether a client retries after an answer: after a refusal, and after a failure if
// the class is idempotent or every server deduplicates it.
func (c Class) RetriesAfter(a Answer) bool {
	return a == AnswerRefused || a == AnswerFailed && (c.Idempotency == "safe" || c.Idempotency == "keyed" && c.DedupScope == "all")
}

// RetryDelay draws how long a client waits after its nth attempt: its own backoff, and at least the
// requested Retry-After, up to limit, if the client honours it.
func (c Clients) RetryDelay(n int, requested, limit time.Duration, rng *rand.Rand) time.Duration {
	wait := time.Duration(float64(c.Backoff) * math.Pow(2, float64(n-1)) * (0.5 + rng.Float64()))
	if rng.Float64() < c.HonourRetryAfter {
		wait = max(wait, min(requested, limit))
	}
	return wait
}

// sidecarEnded ends a call whose sidecar, and so its client, has ended.
func (c *clients) sidecarEnded(k *call) {
	k.cause, k.refusedOnly = causeKilled, false
	c.endUnserved(k)
}

// unanswered ends a call whose attempt had no answer.
func (c *clients) unanswered(r *request) {
	r.call.refusedOnly, r.call.cause = false, causeNoAnswer
	c.endUnserved(r.call)
}

// endUnserved ends a call that was not served.
func (c *clients) endUnserved(k *call) {
	if !k.done {
		k.done = true
		c.sim.record.AddUnserved(k.Call, k.refusedOnly, c.sim.now-k.startedAt, k.cause)
	}
}
