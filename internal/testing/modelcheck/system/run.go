package system

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// faultPeriod is how long faults are injected. settlePeriod is how long the system then
	// has to settle; a rollout's and a drain's time-outs lie within it.
	faultPeriod  = 12 * time.Second
	settlePeriod = 13 * time.Second
	// linearizabilityEvery is how many schedules there are to each one whose history of calls
	// is checked: that costs as much as all the others together.
	linearizabilityEvery = 8
)

// Run runs one schedule. It returns what the schedule covered and the first violation.
func Run(seed uint64, plan []Fault) (Coverage, error) {
	w := newWorld(seed, plan)
	violated := func() bool { return w.err != nil }
	w.run(faultPeriod, violated)
	if w.err == nil {
		w.endFaults()
		w.run(faultPeriod+settlePeriod, violated)
	}
	if w.err == nil {
		w.checker.checkFinalState(w, seed%linearizabilityEvery == 0)
	}
	w.stopAll()
	return w.coverage(), w.err
}

// stopAll ends all processes but the replicas, which run no tasks.
func (w *world) stopAll() {
	w.operator.kill()
	for _, ctl := range w.controllers {
		ctl.kill()
	}
	for _, sc := range w.sidecars {
		sc.kill()
	}
}

// sortedKeys returns a map's keys in order, so that what follows does not depend on the map's.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
