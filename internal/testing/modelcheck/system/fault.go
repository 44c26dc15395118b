package system

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// FaultKind is what a fault does to a process.
type FaultKind string

// The faults.
const (
	Crash         FaultKind = "kill"
	Pause         FaultKind = "pause"
	Partition     FaultKind = "cut"
	BlockOutbound FaultKind = "mute"
	BlockInbound  FaultKind = "deaf"
	Delay         FaultKind = "late"
	DiskFull      FaultKind = "full"  // the disk of a replica takes nothing more
	ClockDrift    FaultKind = "drift" // its clock runs a twentieth off
)

var faultKinds = []FaultKind{Crash, Pause, Partition, BlockOutbound, BlockInbound, Delay, DiskFull, ClockDrift}

// Fault falls on a process as a step is taken for the nth time, for a time. The process is
// named by what it is then: leader, follower, holder:LEASE, or s0, k1, r2.
type Fault struct {
	Step       string
	Occurrence int
	Kind       FaultKind
	Target     string
	Duration   time.Duration
}

// String is the fault as Parse reads it.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s for %v at %s#%d", f.Kind, f.Target, f.Duration, f.Step, f.Occurrence)
}

// ParsePlan reads faults as String writes them, with semicolons between them.
func ParsePlan(text string) (all []Fault, err error) {
	for part := range strings.SplitSeq(text, ";") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		what, at, ok := strings.Cut(part, " at ")
		words := strings.Fields(what)
		cut := strings.LastIndexByte(at, '#')
		if !ok || len(words) != 4 || words[2] != "for" || cut < 0 || !slices.Contains(faultKinds, FaultKind(words[0])) {
			return nil, fmt.Errorf("fault %q: it has to be like 'kill leader for 2s at policy in force#1', with one of %v", part, faultKinds)
		}
		f := Fault{Step: at[:cut], Kind: FaultKind(words[0]), Target: words[1]}
		if f.Duration, err = time.ParseDuration(words[3]); err != nil {
			return nil, fmt.Errorf("fault %q: %w", part, err)
		}
		if f.Occurrence, err = strconv.Atoi(at[cut+1:]); err != nil || f.Occurrence < 1 {
			return nil, fmt.Errorf("fault %q: %q is not a number from 1 on", part, at[cut+1:])
		}
		all = append(all, f)
	}
	return all, nil
}

// FormatPlan is the plan as Parse reads it.
func FormatPlan(plan []Fault) string {
	parts := make([]string, len(plan))
	for i, f := range plan {
		parts[i] = f.String()
	}
	return strings.Join(parts, "; ")
}

// faultTarget is the process that a fault falls on now.
func (w *world) faultTarget(f Fault) *process {
	if lease, ok := strings.CutPrefix(f.Target, "holder:"); ok {
		for _, ctl := range w.controllers {
			if session := ctl.sessions[lease]; ctl.up && session != nil && session.Held(ctl.monotonic()) {
				return &ctl.process
			}
		}
		return &w.controllers[0].process
	}
	switch f.Target {
	case "leader":
		return &w.raft.replicas[max(0, w.raft.leader)].process
	case "follower":
		return &w.raft.replicas[(max(0, w.raft.leader)+1)%len(w.raft.replicas)].process
	}
	for _, ctl := range w.controllers {
		if ctl.name == f.Target {
			return &ctl.process
		}
	}
	for _, sc := range w.sidecars {
		if sc.name == f.Target {
			return &sc.process
		}
	}
	for _, r := range w.raft.replicas {
		if r.name == f.Target {
			return &r.process
		}
	}
	return nil
}

// injectFault lets a fault of the plan begin, and end after its time.
func (w *world) injectFault(i int) {
	f := w.plan[i]
	p := w.faultTarget(f)
	if p == nil || w.settling {
		return
	}
	w.activeFaults[i] = f
	set := func(on bool) {
		switch f.Kind {
		case Crash:
			if p.kill(); !on {
				p.start()
			}
		case Pause:
			if p.pause(); !on {
				p.unpause()
				w.raft.resumed(p)
			}
		case Partition:
			p.outboundBlocked, p.inboundBlocked = on, on
		case BlockOutbound:
			p.outboundBlocked = on
		case BlockInbound:
			p.inboundBlocked = on
		case Delay:
			p.delayed = on
		case DiskFull:
			for _, r := range w.raft.replicas {
				if &r.process == p {
					r.diskFull = on
				}
			}
		case ClockDrift:
			rate := int64(1000)
			if on {
				rate = []int64{950, 1050}[i%2]
			}
			p.setClockRate(rate)
		}
	}
	set(true)
	w.after(f.Duration, func() {
		if _, on := w.activeFaults[i]; on {
			delete(w.activeFaults, i)
			set(false)
		}
	})
}

// endFaults ends all faults, and starts what is down.
func (w *world) endFaults() {
	w.settling = true
	clear(w.activeFaults)
	all := []*process{w.operator}
	for _, r := range w.raft.replicas {
		r.diskFull = false
		all = append(all, &r.process)
	}
	for _, ctl := range w.controllers {
		all = append(all, &ctl.process)
	}
	for _, sc := range w.sidecars {
		all = append(all, &sc.process)
	}
	for _, p := range all {
		p.outboundBlocked, p.inboundBlocked, p.delayed = false, false, false
		p.setClockRate(1000)
		p.unpause()
		p.start()
	}
}
