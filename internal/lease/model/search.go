package model

import "barleywick/internal/testing/modelcheck"

// Search explores all possible steps of a world, to a depth or until maxStates states have
// been found. It returns the number of states, the depth that was searched in full, what
// the checker counted, and the first violation.
func Search(s Setup, depth, maxStates int) (states, fullDepth int, seen Counts, violation *modelcheck.Violation) {
	states, fullDepth, violation = modelcheck.Search(New(s), depth, maxStates, func(w *World) {
		seen.add(w.checker.Counts)
		w.checker.Counts = Counts{}
	})
	return states, fullDepth, seen, violation
}
