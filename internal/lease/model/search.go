package model

import "barleywick/internal/testing/modelcheck"

// Search tries every choice from a world on. It returns what was judged on the way, too.
func Search(s Setup, depth, most int) (states, full int, seen Counts, found *modelcheck.Violation) {
	states, full, found = modelcheck.Search(New(s), depth, most, func(w *World) {
		seen.add(w.checker.Counts)
		w.checker.Counts = Counts{}
	})
	return states, full, seen, found
}
