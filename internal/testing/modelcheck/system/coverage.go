package system

import (
	"cmp"
	"slices"
)

// Pair is a step taken while a fault of the given kind was in effect.
type Pair struct {
	Kind FaultKind
	Step string
}

// Coverage counts what happened in schedules and what was checked in them.
type Coverage struct {
	Schedules          int
	Events             int
	Faults             int
	TimedActs          int // acts protected only by the lease's remaining time
	Advice             int // pieces of overload advice that were given
	CommittedPolicies  int
	ServerStops        int // servers stopped by a drain
	ListComparisons    int // comparisons of a sidecar's endpoint list with the registry's
	AcknowledgedWrites int
	Requests           int
	JointObservations  int // observations of a sidecar that applies two policies at once
	FencedWrites       int
	Steps              map[string]int
	Pairs              map[Pair]int
}

// add adds the counts of other schedules.
func (c *Coverage) add(o Coverage) {
	c.Schedules += o.Schedules
	c.Events += o.Events
	c.Faults += o.Faults
	c.TimedActs += o.TimedActs
	c.Advice += o.Advice
	c.CommittedPolicies += o.CommittedPolicies
	c.ServerStops += o.ServerStops
	c.ListComparisons += o.ListComparisons
	c.AcknowledgedWrites += o.AcknowledgedWrites
	c.Requests += o.Requests
	c.JointObservations += o.JointObservations
	c.FencedWrites += o.FencedWrites
	if c.Steps == nil {
		c.Steps, c.Pairs = make(map[string]int), make(map[Pair]int)
	}
	for k, n := range o.Steps {
		c.Steps[k] += n
	}
	for k, n := range o.Pairs {
		c.Pairs[k] += n
	}
}

// MaxPairs returns the number of possible pairs of a fault kind and a step that was taken.
func (c *Coverage) MaxPairs() int { return len(faultKinds) * len(c.Steps) }

// RarestPairs returns all possible pairs of a fault kind and a step that was taken, the least covered first.
func (c *Coverage) RarestPairs() (all []Pair) {
	for _, k := range faultKinds {
		for _, step := range sortedKeys(c.Steps) {
			all = append(all, Pair{k, step})
		}
	}
	slices.SortStableFunc(all, func(a, b Pair) int { return cmp.Compare(c.Pairs[a], c.Pairs[b]) })
	return all
}

// coverage returns the schedule's coverage.
func (w *world) coverage() Coverage {
	c := w.checker
	covered := Coverage{
		Schedules: 1, Events: w.processed, TimedActs: c.timedActs, Advice: c.advice, CommittedPolicies: c.policies, ServerStops: c.serverStops,
		ListComparisons: c.lists, Requests: c.requests, JointObservations: c.jointObservations, FencedWrites: c.fencedWrites, Steps: w.stepCounts, Pairs: w.pairs,
	}
	for _, writes := range c.acknowledged {
		covered.AcknowledgedWrites += len(writes)
	}
	for _, injected := range w.injected {
		if injected {
			covered.Faults++
		}
	}
	return covered
}

// recordStep counts a step, and injects the faults that are planned for this occurrence.
func (w *world) recordStep(name string) {
	w.stepCounts[name]++
	for _, f := range w.activeFaults {
		w.pairs[Pair{f.Kind, name}]++
	}
	for i, f := range w.plan {
		if !w.injected[i] && f.Step == name && f.Occurrence == w.stepCounts[name] {
			w.injected[i] = true
			w.after(0, func() { w.injectFault(i) })
		}
	}
}
