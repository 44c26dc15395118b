package model

import "barleywick/internal/testing/modelcheck"

// Search tries all that may happen in a world, to a depth or until maxStates states have
// been met. It returns the number of states, the depth that was searched in full, what
// the checker saw, and the first violation.
func Search(s Setup, depth, maxStates int) (states, fullDepth int, seen Counts, violation *modelcheck.Violation) {
	states, fullDepth, violation = modelcheck.Search(New(s), depth, maxStates, func(w *World) {
		seen.add(w.checker.Counts)
		w.checker.Counts = Counts{}
	})
	return states, fullDepth, seen, violation
}
