package emulator

import (
	"fmt"
	"time"

	"barleywick/internal/overload"
	"barleywick/policy"
)

// advice is the task that works out the fleet's word on an overload, where the scenario
// has one, and the way to it and back.
type advice struct {
	sim     *Sim
	planner *overload.Planner
	token   uint64
	word    overload.Advice
	cut     []int // by sidecar: troubles that keep it from the task
}

// adviseFleet is what fleets of the emulator are called towards the task.
const adviseFleet = "emulator"

// advised is a Decider that takes the fleet's word.
type advised interface {
	Advise(now time.Duration, a policy.OverloadAdvice)
	Congestion(now time.Duration) float64
}

func newAdvice(s *Sim) *advice {
	a := &advice{sim: s, cut: make([]int, s.sc.Sidecars)}
	a.grant()
	a.plan()
	return a
}

// grant has the task begin anew, at another holder.
func (a *advice) grant() {
	a.token++
	a.planner = overload.NewPlanner(adviseFleet, a.token)
}

// plan works out the word once a second.
func (a *advice) plan() {
	a.word = a.planner.Plan(a.sim.now)
	a.sim.after(overload.ReportInterval, a.plan)
}

// tell has a sidecar tell once a second from its start on.
func (a *advice) tell(n *node) {
	n.counts = make([]overload.TenantCounts, len(a.sim.sc.Tenants))
	n.taker = overload.AdviceFilter{Fleet: adviseFleet}
	n.digests = 0
	var again func()
	again = func() {
		a.exchange(n)
		n.mine(overload.ReportInterval, again)
	}
	// Spread: the task must not hear of all at once.
	n.mine(overload.ReportInterval*time.Duration(n.index%97+1)/97, again)
}

// exchange brings a digest to the task, and its word back.
func (a *advice) exchange(n *node) {
	s := a.sim
	d, takes := n.b.(advised)
	if !takes {
		return
	}
	n.digests++
	digest := overload.Digest{
		Fleet: adviseFleet, Name: fmt.Sprint("n", n.index), Incarnation: uint64(n.epoch) + 1, Seq: n.digests, PeriodMS: overload.ReportInterval.Milliseconds(), Congestion: min(1, d.Congestion(s.now)),
	}
	for i, c := range n.counts {
		c.Tenant, c.Quota = s.sc.Tenants[i].Name, s.sc.Tenants[i].Share
		digest.Tenants = append(digest.Tenants, c)
	}
	clear(n.counts)
	if a.cut[n.index] > 0 {
		return
	}
	way := s.way(n.zone, 0)
	n.mine(way, func() {
		if a.planner.AddDigest(s.now, digest) != nil {
			return
		}
		word := a.word
		n.mine(way, func() {
			if n.taker.Accept(word) != nil {
				return
			}
			parts := make([]float64, len(s.sc.Tenants))
			for i := range parts {
				parts[i] = 1
				for _, p := range word.Tenants {
					if p.Tenant == s.sc.Tenants[i].Name {
						parts[i] = p.AdmitFraction
					}
				}
			}
			d.Advise(s.now, policy.OverloadAdvice{AdmittedShares: parts, ValidFor: time.Duration(word.ValidMS) * time.Millisecond})
		})
	})
}

// count notes what became of a try.
func (n *node) count(r *request, a Answer) {
	if n.counts == nil {
		return
	}
	switch c := &n.counts[r.call.Tenant]; {
	case a == AnswerRefused:
		c.Refused++
	case a == AnswerFailed:
		c.Failed++
	case n.sim.now > r.call.aimAt:
		c.Late++
	default:
		c.InTime++
	}
}

// noAdvice keeps a part of the sidecars from the task; where it is all of them, another
// holder has it afterwards, which knows nothing.
func (s *Sim) noAdvice(t *Trouble) func() {
	some := Befallen(s.luck, len(s.nodes), t.Part)
	for _, i := range some {
		s.advice.cut[i]++
	}
	return func() {
		for _, i := range some {
			s.advice.cut[i]--
		}
		if len(some) == len(s.nodes) {
			s.advice.grant()
		}
	}
}
