package faultinjection

import "slices"

// Shrink leaves out faults of a schedule as long as the rest still fails: half of them at
// first, single ones in the end. It calls fails maxCalls times at most.
func Shrink(s Schedule, maxCalls int, fails func(Schedule) bool) Schedule {
	calls := 0
	for size := (len(s) + 1) / 2; size > 0; {
		smaller := false
		for i := 0; i+size <= len(s) && calls < maxCalls; {
			rest := slices.Concat(s[:i], s[i+size:])
			calls++
			if fails(rest) {
				s, smaller = rest, true
			} else {
				i += size
			}
		}
		if !smaller || size > 1 {
			size /= 2
		}
		if calls >= maxCalls {
			break
		}
	}
	return s
}
