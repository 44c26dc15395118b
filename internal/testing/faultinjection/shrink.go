package faultinjection

import "slices"

// Shrink removes faults from a schedule while the remaining schedule still fails: half of the faults
// at first, single ones in the end. It calls fails at most maxCalls times.
func Shrink(s Schedule, maxCalls int, fails func(Schedule) bool) Schedule {
	calls := 0
	for size := (len(s) + 1) / 2; size > 0; {
		reduced := false
		for i := 0; i+size <= len(s) && calls < maxCalls; {
			remaining := slices.Concat(s[:i], s[i+size:])
			calls++
			if fails(remaining) {
				s, reduced = remaining, true
			} else {
				i += size
			}
		}
		if !reduced || size > 1 {
			size /= 2
		}
		if calls >= maxCalls {
			break
		}
	}
	return s
}
