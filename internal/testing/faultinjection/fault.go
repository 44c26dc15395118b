package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults. Link faults affect all links from and to one process. The values are part of
// recorded schedules.
const (
	Partition          FaultKind = "cut"     // both directions are blocked
	BlockInbound       FaultKind = "deaf"    // what others send to it is blocked: its requests arrive, the responses do not
	BlockOutbound      FaultKind = "mute"    // what it sends is blocked: neither its requests nor its responses arrive
	Delay              FaultKind = "late"    // both directions are delayed
	DelayThenPartition FaultKind = "fade"    // responses to it are delayed, then it is partitioned
	ResetConnections   FaultKind = "reset"   // its connections are reset, once
	HalfOpen           FaultKind = "half"    // the targets' side of connections is reset, once; callers do not notice
	RefuseConnections  FaultKind = "refused" // its connections are reset, new ones when they are accepted
	DropResponses      FaultKind = "answers" // some responses to it are dropped after their requests were delivered
	Pause              FaultKind = "pause"   // it is stopped by SIGSTOP and resumed by SIGCONT
	Crash              FaultKind = "kill"    // it is killed and started again
	DiskFull           FaultKind = "full"    // its writes to files fail
)

// defaultKinds are the kinds of a plan that names none. DiskFull only applies to processes that write
// files, so a plan has to name it.
var defaultKinds = []FaultKind{
	Partition, BlockInbound, BlockOutbound, Delay, DelayThenPartition, ResetConnections, HalfOpen, RefuseConnections, DropResponses, Pause, Crash,
}

// Fault is one fault of one process.
type Fault struct {
	Start    time.Duration // since the schedule's start
	Duration time.Duration
	Kind     FaultKind
	Target   string // the process's name
}

// String returns the fault in the form that ParseSchedule reads.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s %s for %v", f.Start, f.Kind, f.Target, f.Duration)
}

// Schedule is a list of faults in the order of their start.
type Schedule []Fault

// String returns the schedule in the form that ParseSchedule reads.
func (s Schedule) String() string {
	faults := make([]string, len(s))
	for i, f := range s {
		faults[i] = f.String()
	}
	return strings.Join(faults, "; ")
}

// ParseSchedule parses the output of Schedule.String.
func ParseSchedule(text string) (s Schedule, err error) {
	for part := range strings.SplitSeq(text, ";") {
		words := strings.Fields(part)
		if len(words) == 0 {
			continue
		}
		f, err := parseFault(words)
		if err != nil {
			return nil, fmt.Errorf("fault %q: %w", strings.TrimSpace(part), err)
		}
		s = append(s, f)
	}
	return s, nil
}

// parseFault parses the words of "START KIND TARGET for DURATION".
func parseFault(words []string) (f Fault, err error) {
	if len(words) != 5 || words[3] != "for" || !isKnownKind(FaultKind(words[1])) {
		return f, fmt.Errorf("want START KIND TARGET for DURATION, like '1.5s cut k1 for 3s', with one of the kinds %v", defaultKinds)
	}
	f.Kind, f.Target = FaultKind(words[1]), words[2]
	if f.Start, err = time.ParseDuration(words[0]); err != nil {
		return f, err
	}
	f.Duration, err = time.ParseDuration(words[4])
	return f, err
}

func isKnownKind(kind FaultKind) bool { return kind == DiskFull || slices.Contains(defaultKinds, kind) }
