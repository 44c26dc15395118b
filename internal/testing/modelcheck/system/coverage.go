package system

import (
	"cmp"
	"slices"
)

// Pair is a step that was taken while a fault went on.
type Pair struct {
	Kind FaultKind
	Step string
}

// Coverage is what schedules went through, and what was judged in them.
type Coverage struct {
	Schedules, Events, Faults              int
	TimedActs, Advice, Policies            int
	ServerStops, Lists, AcknowledgedWrites int
	Requests, JointPolicies, FencedWrites  int
	Steps                                  map[string]int
	Pairs                                  map[Pair]int
}

func (c *Coverage) add(o Coverage) {
	c.Schedules += o.Schedules
	c.Events += o.Events
	c.Faults += o.Faults
	c.TimedActs += o.TimedActs
	c.Advice += o.Advice
	c.Policies += o.Policies
	c.ServerStops += o.ServerStops
	c.Lists += o.Lists
	c.AcknowledgedWrites += o.AcknowledgedWrites
	c.Requests += o.Requests
	c.JointPolicies += o.JointPolicies
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

// MaxPairs is how many pairs there could be of the steps that were seen.
func (c *Coverage) MaxPairs() int { return len(faultKinds) * len(c.Steps) }

// RarestPairs are all pairs of the steps that were seen, the one seen least first.
func (c *Coverage) RarestPairs() (all []Pair) {
	for _, k := range faultKinds {
		for _, step := range sortedKeys(c.Steps) {
			all = append(all, Pair{k, step})
		}
	}
	slices.SortStableFunc(all, func(a, b Pair) int { return cmp.Compare(c.Pairs[a], c.Pairs[b]) })
	return all
}

// recordStep notes one, and lets the faults fall that wait for it.
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
