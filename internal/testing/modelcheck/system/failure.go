package system

import (
	"fmt"
	"slices"
)

// Failure is a schedule that violates an invariant.
type Failure struct {
	Seed      uint64
	Plan      []Fault
	Err       error
	Schedules int // how many were run until it was found
}

// ReplayText describes the violation and names the command that replays it.
func (f *Failure) ReplayText() string {
	return fmt.Sprintf("after %d schedules: %v; to replay it: testbench modelcheck --replay --seed %d --faults '%s'", f.Schedules, f.Err, f.Seed, FormatPlan(f.Plan))
}

// Shrink returns a failure without the faults that the violation does not need.
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
