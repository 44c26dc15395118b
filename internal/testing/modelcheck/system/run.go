package system

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Faults are injected during faultPeriod. The system then has settlePeriod to settle, which is
	// longer than the timeouts of rollouts and drains.
	faultPeriod  = 12 * time.Second
	settlePeriod = 13 * time.Second
	// The history of calls is checked for linearizability in one of linearizabilityEvery schedules,
	// since that check takes as long as all the other schedules together.
	linearizabilityEvery = 8
)

// Run runs one schedule. It returns the schedule's coverage and the first violation.
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

// stopAll ends all processes except the replicas, which run no tasks.
func (w *world) stopAll() {
	w.operator.kill()
	for _, ctl := range w.controllers {
		ctl.kill()
	}
	for _, sc := range w.sidecars {
		sc.kill()
	}
}

// sortedKeys returns a map's keys in ascending order, as the map's own iteration order is random.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
