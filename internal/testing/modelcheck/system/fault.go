package system

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// FaultKind is the effect of a fault on a process. Its text is part of a plan's text form.
type FaultKind string

// The kinds of faults.
const (
	Crash         FaultKind = "kill"
	Pause         FaultKind = "pause"
	Partition     FaultKind = "cut"
	BlockOutbound FaultKind = "mute"
	BlockInbound  FaultKind = "deaf"
	Delay         FaultKind = "late"
	DiskFull      FaultKind = "full"  // writes to a replica's disk fail
	ClockDrift    FaultKind = "drift" // the clock runs 5 % fast or slow
)

// Clock rates, in thousandths of the normal rate.
const (
	normalClockRate = 1000
	slowClockRate   = 950
	fastClockRate   = 1050
)

var faultKinds = []FaultKind{Crash, Pause, Partition, BlockOutbound, BlockInbound, Delay, DiskFull, ClockDrift}

// Fault is a fault that is injected at the given occurrence of a step.
type Fault struct {
	Step       string
	Occurrence int // of the step, counted from 1
	Kind       FaultKind
	Target     string // a role at the time of injection (leader, follower, holder:LEASE) or a process name (s0, k1, r2)
	Duration   time.Duration
}

// String formats the fault as ParsePlan reads it.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s for %v at %s#%d", f.Kind, f.Target, f.Duration, f.Step, f.Occurrence)
}

// ParsePlan parses faults as Fault.String formats them, separated by semicolons.
func ParsePlan(text string) (plan []Fault, err error) {
	for part := range strings.SplitSeq(text, ";") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		f, err := parseFault(part)
		if err != nil {
			return nil, fmt.Errorf("fault %q: %w", part, err)
		}
		plan = append(plan, f)
	}
	return plan, nil
}

// parseFault parses KIND TARGET for DURATION at STEP#OCCURRENCE.
func parseFault(text string) (f Fault, err error) {
	effect, step, ok := strings.Cut(text, " at ")
	words := strings.Fields(effect)
	number := strings.LastIndexByte(step, '#')
	if !ok || len(words) != 4 || words[2] != "for" || number < 0 || !slices.Contains(faultKinds, FaultKind(words[0])) {
		return f, fmt.Errorf("want KIND TARGET for DURATION at STEP#OCCURRENCE, such as 'kill leader for 2s at policy in force#1', with one of the kinds %v", faultKinds)
	}
	f = Fault{Step: step[:number], Kind: FaultKind(words[0]), Target: words[1]}
	if f.Duration, err = time.ParseDuration(words[3]); err != nil {
		return f, err
	}
	if f.Occurrence, err = strconv.Atoi(step[number+1:]); err != nil || f.Occurrence < 1 {
		return f, fmt.Errorf("occurrence: got %q, want an integer of at least 1", step[number+1:])
	}
	return f, nil
}

// FormatPlan formats a plan as ParsePlan reads it.
func FormatPlan(plan []Fault) string {
	parts := make([]string, len(plan))
	for i, f := range plan {
		parts[i] = f.String()
	}
	return strings.Join(parts, "; ")
}
