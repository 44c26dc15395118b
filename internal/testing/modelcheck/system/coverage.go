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

func (s *Coverage) add(o Coverage) {
	s.Schedules += o.Schedules
	s.Events += o.Events
	s.Faults += o.Faults
	s.TimedActs += o.TimedActs
	s.Advice += o.Advice
	s.Policies += o.Policies
	s.ServerStops += o.ServerStops
	s.Lists += o.Lists
	s.AcknowledgedWrites += o.AcknowledgedWrites
	s.Requests += o.Requests
	s.JointPolicies += o.JointPolicies
	s.FencedWrites += o.FencedWrites
	if s.Steps == nil {
		s.Steps, s.Pairs = make(map[string]int), make(map[Pair]int)
	}
	for k, n := range o.Steps {
		s.Steps[k] += n
	}
	for k, n := range o.Pairs {
		s.Pairs[k] += n
	}
}

// MaxPairs is how many pairs there could be of the steps that were seen.
func (s *Coverage) MaxPairs() int { return len(faultKinds) * len(s.Steps) }

// RarestPairs are all pairs of the steps that were seen, the one seen least first.
func (s *Coverage) RarestPairs() (all []Pair) {
	for _, k := range faultKinds {
		for _, step := range sortedKeys(s.Steps) {
			all = append(all, Pair{k, step})
		}
	}
	slices.SortStableFunc(all, func(a, b Pair) int { return cmp.Compare(s.Pairs[a], s.Pairs[b]) })
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
