package emulator

import (
	"fmt"
	"time"

	"barleywick/internal/overload"
	"barleywick/policy"
)

// adviceTask models the fleet-wide task that computes overload advice, and its messages with the
// sidecars. It exists only in scenarios with overload advice.
type adviceTask struct {
	sim          *Sim
	planner      *overload.Planner
	token        uint64
	current      overload.Advice
	disconnected []int // by sidecar: number of active faults that disconnect it from the task
}

// fleetName is the fleet's name in digests and advice.
const fleetName = "emulator"

// adviceReceiver is a Decider that accepts overload advice.
type adviceReceiver interface {
	Advise(now time.Duration, a policy.OverloadAdvice)
	Congestion(now time.Duration) float64
}

func newAdviceTask(s *Sim) *adviceTask {
	a := &adviceTask{sim: s, disconnected: make([]int, s.scenario.Sidecars)}
	a.moveToNewHolder()
	a.updateAdvice()
	return a
}

// moveToNewHolder restarts the task on another lease holder, with a new fencing token and no digests.
func (a *adviceTask) moveToNewHolder() {
	a.token++
	a.planner = overload.NewPlanner(fleetName, a.token)
}

// updateAdvice recomputes the advice once per report interval.
func (a *adviceTask) updateAdvice() {
	a.current = a.planner.Plan(a.sim.now)
	a.sim.after(overload.ReportInterval, a.updateAdvice)
}

// startReporting makes a sidecar send a digest once per report interval, from its start on.
func (a *adviceTask) startReporting(n *node) {
	n.counts = make([]overload.TenantCounts, len(a.sim.scenario.Tenants))
	n.adviceFilter = overload.AdviceFilter{Fleet: fleetName}
	n.digests = 0
	var sendNext func()
	sendNext = func() {
		a.exchange(n)
		n.afterInEpoch(overload.ReportInterval, sendNext)
	}
	// The first digests are spread over an interval, so that they do not all arrive at once.
	n.afterInEpoch(overload.ReportInterval*time.Duration(n.index%97+1)/97, sendNext)
}

// exchange sends a digest to the task and the task's advice back to the sidecar.
func (a *adviceTask) exchange(n *node) {
	s := a.sim
	d, accepts := n.decider.(adviceReceiver)
	if !accepts {
		return
	}
	n.digests++
	digest := overload.Digest{
		Fleet: fleetName, Name: fmt.Sprint("n", n.index), Incarnation: uint64(n.epoch) + 1, Seq: n.digests, PeriodMS: overload.ReportInterval.Milliseconds(), Congestion: min(1, d.Congestion(s.now)),
	}
	for i, c := range n.counts {
		c.Tenant, c.Quota = s.scenario.Tenants[i].Name, s.scenario.Tenants[i].Share
		digest.Tenants = append(digest.Tenants, c)
	}
	clear(n.counts)
	if a.disconnected[n.index] > 0 {
		return
	}
	oneWay := s.delay(n.zone, 0)
	n.afterInEpoch(oneWay, func() {
		if a.planner.AddDigest(s.now, digest) != nil {
			return
		}
		advice := a.current
		n.afterInEpoch(oneWay, func() {
			if n.adviceFilter.Accept(advice) != nil {
				return
			}
			shares := make([]float64, len(s.scenario.Tenants))
			for i := range shares {
				shares[i] = 1
				for _, p := range advice.Tenants {
					if p.Tenant == s.scenario.Tenants[i].Name {
						shares[i] = p.AdmitFraction
					}
				}
			}
			d.Advise(s.now, policy.OverloadAdvice{AdmittedShares: shares, ValidFor: time.Duration(advice.ValidMS) * time.Millisecond})
		})
	})
}

// countOutcome counts the outcome of a request for the next digest.
func (n *node) countOutcome(r *request, a Answer) {
	if n.counts == nil {
		return
	}
	switch c := &n.counts[r.call.Tenant]; {
	case a == AnswerRefused:
		c.Refused++
	case a == AnswerFailed:
		c.Failed++
	case n.sim.now > r.call.objectiveAt:
		c.Late++
	default:
		c.InTime++
	}
}

// disconnectAdvice disconnects a fraction of the sidecars from the task. If all are disconnected, the task
// moves to another lease holder at the end of the fault, which starts without digests.
func (s *Sim) disconnectAdvice(t *Fault) func() {
	affected := PickShare(s.environment, len(s.nodes), t.Part)
	for _, i := range affected {
		s.advice.disconnected[i]++
	}
	return func() {
		for _, i := range affected {
			s.advice.disconnected[i]--
		}
		if len(affected) == len(s.nodes) {
			s.advice.moveToNewHolder()
		}
	}
}
