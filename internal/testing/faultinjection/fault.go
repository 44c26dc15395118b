package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is what a fault does.
type FaultKind string

// The kinds of faults. Those of links fall on all links from and to one process. Their
// values are part of schedules that were written down.
const (
	Partition          FaultKind = "cut"     // nothing passes from and to the process
	BlockInbound       FaultKind = "deaf"    // nothing passes to it: its requests arrive, responses do not
	BlockOutbound      FaultKind = "mute"    // nothing passes from it: its requests and responses do not arrive
	Delay              FaultKind = "late"    // all that passes is late
	DelayThenPartition FaultKind = "fade"    // responses to it are late, and then it is partitioned
	ResetConnections   FaultKind = "reset"   // its connections are reset, once
	HalfOpen           FaultKind = "half"    // the other side of its connections is reset, once
	RefuseConnections  FaultKind = "refused" // its connections are reset as they are accepted
	DropResponses      FaultKind = "answers" // some responses to it are dropped
	Pause              FaultKind = "pause"   // it is stopped by a signal, and continues
	Crash              FaultKind = "kill"    // it is killed, and starts again
	DiskFull           FaultKind = "full"    // its writes to files fail
)

// defaultKinds are drawn where a plan names none. DiskFull is for processes that have
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

// Schedule is faults in the order of their start.
type Schedule []Fault

// String returns the schedule in the form that ParseSchedule reads.
func (s Schedule) String() string {
	faults := make([]string, len(s))
	for i, f := range s {
		faults[i] = f.String()
	}
	return strings.Join(faults, "; ")
}

// ParseSchedule reads what Schedule.String writes.
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

// parseFault reads the words of START KIND TARGET for DURATION.
func parseFault(words []string) (f Fault, err error) {
	if len(words) != 5 || words[3] != "for" || !knownKind(FaultKind(words[1])) {
		return f, fmt.Errorf("it has to be like '1.5s cut k1 for 3s', with one of %v", defaultKinds)
	}
	f.Kind, f.Target = FaultKind(words[1]), words[2]
	if f.Start, err = time.ParseDuration(words[0]); err != nil {
		return f, err
	}
	f.Duration, err = time.ParseDuration(words[4])
	return f, err
}

func knownKind(kind FaultKind) bool { return kind == DiskFull || slices.Contains(defaultKinds, kind) }
