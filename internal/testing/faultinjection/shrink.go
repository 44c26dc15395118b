package faultinjection

import "slices"

// Shrink leaves faults out as long as what is left still fails, half of them first and
// each by itself in the end. It asks at most so many times.
func Shrink(s Schedule, most int, fails func(Schedule) bool) Schedule {
	for size := (len(s) + 1) / 2; size > 0; {
		smaller := false
		for i := 0; i+size <= len(s) && most > 0; {
			rest := slices.Concat(s[:i], s[i+size:])
			if most--; fails(rest) {
				s, smaller = rest, true
			} else {
				i += size
			}
		}
		if !smaller || size > 1 {
			size /= 2
		}
		if most <= 0 {
			break
		}
	}
	return s
}
