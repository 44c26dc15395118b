package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is a fault's kind.
type FaultKind string

// The faults. Those of links are of all links between a process and others.
const (
	Partition          FaultKind = "cut"     // a process hears nothing and is not heard
	BlockInbound       FaultKind = "deaf"    // what it asks arrives, no answer comes back
	BlockOutbound      FaultKind = "mute"    // what it asks does not arrive; what others ask does
	Delay              FaultKind = "late"    // everything from and to it is late
	DelayThenPartition FaultKind = "fade"    // answers to it are late, and then it is cut off
	ResetConnections   FaultKind = "reset"   // its connections are reset, once
	HalfOpen           FaultKind = "half"    // the far side of its connections is gone, once
	RefuseConnections  FaultKind = "refused" // its connections are closed as they come
	DropResponses      FaultKind = "answers" // some answers to it are lost
	Pause              FaultKind = "pause"   // it is stopped, and goes on
	Crash              FaultKind = "kill"    // it is killed, and starts again
	DiskFull           FaultKind = "full"    // what it writes to files fails
)

// Full is drawn only where a plan names it: it is for processes that have a disk.
var kinds = []FaultKind{Partition, BlockInbound, BlockOutbound, Delay, DelayThenPartition, ResetConnections, HalfOpen, RefuseConnections, DropResponses, Pause, Crash}

// Fault is one fault of one process, from a time on for a time.
type Fault struct {
	Start, Duration time.Duration
	Kind            FaultKind
	Target          string
}

func (f Fault) String() string {
	return fmt.Sprintf("%v %s %s for %v", f.Start, f.Kind, f.Target, f.Duration)
}

// Schedule is faults in the order of their beginning.
type Schedule []Fault

func (s Schedule) String() string {
	lines := make([]string, len(s))
	for i, f := range s {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// ParseSchedule reads what String writes.
func ParseSchedule(text string) (s Schedule, err error) {
	for part := range strings.SplitSeq(text, ";") {
		words := strings.Fields(part)
		if len(words) == 0 {
			continue
		}
		if len(words) != 5 || words[3] != "for" || FaultKind(words[1]) != DiskFull && !slices.Contains(kinds, FaultKind(words[1])) {
			return nil, fmt.Errorf("fault %q: it has to be like '1.5s cut k1 for 3s', with one of %v", strings.TrimSpace(part), kinds)
		}
		f := Fault{Kind: FaultKind(words[1]), Target: words[2]}
		if f.Start, err = time.ParseDuration(words[0]); err != nil {
			return nil, fmt.Errorf("fault %q: %w", strings.TrimSpace(part), err)
		}
		if f.Duration, err = time.ParseDuration(words[4]); err != nil {
			return nil, fmt.Errorf("fault %q: %w", strings.TrimSpace(part), err)
		}
		s = append(s, f)
	}
	return s, nil
}
