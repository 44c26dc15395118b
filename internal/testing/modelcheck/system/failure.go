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
	Schedules int // number of schedules run until the violation was found, this one included
}

// ReplayText describes the violation and names the command that replays it.
func (f *Failure) ReplayText() string {
	return fmt.Sprintf("after %d schedules: %v; to replay it: testbench modelcheck --replay --seed %d --faults '%s'", f.Schedules, f.Err, f.Seed, FormatPlan(f.Plan))
}

// Shrink returns the failure without the faults that are not needed to violate an invariant.
func (f *Failure) Shrink() *Failure {
	reduced := *f
	for i := 0; i < len(reduced.Plan); {
		remaining := slices.Concat(reduced.Plan[:i], reduced.Plan[i+1:])
		if _, err := Run(f.Seed, remaining); err != nil {
			reduced.Plan, reduced.Err = remaining, err
		} else {
			i++
		}
	}
	return &reduced
}
