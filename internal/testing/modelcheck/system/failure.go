package system

import (
	"fmt"
	"slices"
)

// Failure is a schedule that breaks a promise.
type Failure struct {
	Seed      uint64
	Plan      []Fault
	Err       error
	Schedules int // until it was found
}

// ReplayText says what was found, and how to play it again.
func (f *Failure) ReplayText() string {
	return fmt.Sprintf("after %d schedules: %v; to play it again: testbench modelcheck --replay --seed %d --faults '%s'", f.Schedules, f.Err, f.Seed, FormatPlan(f.Plan))
}

// Shrink leaves out the faults that a broken promise does not need.
func (f *Failure) Shrink() *Failure {
	small := *f
	for i := 0; i < len(small.Plan); {
		rest := slices.Concat(small.Plan[:i], small.Plan[i+1:])
		if _, err := Run(f.Seed, rest); err != nil {
			small.Plan, small.Err = rest, err
		} else {
			i++
		}
	}
	return &small
}
