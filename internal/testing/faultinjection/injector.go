package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"barleywick/internal/testing/wait"
)

const (
	// maxFaultDelay is the longest delay of the fault Delay. It is longer than an election and shorter
	// than the timeout of a call.
	maxFaultDelay = 700 * time.Millisecond
	// delayBeforePartition is the delay of responses in the first half of DelayThenPartition. It is a
	// considerable part of a lease of one second, but short enough that the holder keeps the lease.
	delayBeforePartition = 440 * time.Millisecond
	// droppedResponses is how many responses the fault DropResponses drops on each link.
	droppedResponses = 3
)

// Injector injects faults into processes and the links between them. A link's name is "from>to", with
// a colon and a suffix if there are several links between the same two processes.
type Injector struct {
	Network   *Network
	Processes map[string]*Process // by name

	// ResolveTarget maps the target of a fault that starts to a process, for instance a role such as
	// the holder of a lease to the process that has it; nil: targets are names of processes.
	ResolveTarget func(target string) (process string)

	// OnPause is called when a paused process has resumed; it may be nil.
	OnPause func(target string, begin, end time.Time)

	mu       sync.Mutex
	reserved map[string]bool   // processes that have a fault; only used with ResolveTarget
	Injected map[FaultKind]int // number of faults that were injected
}

// Inject starts a fault and returns the function that ends it.
func (i *Injector) Inject(f Fault) (end func() error, err error) {
	if i.ResolveTarget != nil {
		f.Target = i.ResolveTarget(f.Target)
		if !i.reserve(f.Target) {
			return noopEnd, nil // the process already has another fault: skip this one
		}
		defer func() { end = i.releaseAtEnd(f.Target, end) }()
	}
	end, err = i.start(f)
	if err != nil {
		return nil, fmt.Errorf("%v: %w", f, err)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.Injected == nil {
		i.Injected = make(map[FaultKind]int)
	}
	i.Injected[f.Kind]++
	return end, nil
}

// reserve marks a process as having a fault. It returns false if the process has one already.
func (i *Injector) reserve(process string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.reserved[process] {
		return false
	}
	if i.reserved == nil {
		i.reserved = make(map[string]bool)
	}
	i.reserved[process] = true
	return true
}

// releaseAtEnd returns a function that calls end and removes the process's reservation.
func (i *Injector) releaseAtEnd(process string, end func() error) func() error {
	return func() error {
		defer func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			delete(i.reserved, process)
		}()
		if end == nil {
			return nil
		}
		return end()
	}
}

func (i *Injector) start(f Fault) (end func() error, err error) {
	switch f.Kind {
	case Partition, BlockInbound, BlockOutbound, Delay, RefuseConnections:
		i.setRules(f.Target, rulesByKind[f.Kind])
		return i.endLinkFault(f.Target), nil
	case DelayThenPartition:
		return i.delayThenPartition(f), nil
	case ResetConnections:
		i.eachLink(f.Target, (*Link).Reset, (*Link).Reset)
		return noopEnd, nil
	case HalfOpen:
		i.eachLink(f.Target, (*Link).HalfOpen, (*Link).HalfOpen)
		return noopEnd, nil
	case DropResponses:
		i.eachLink(f.Target, func(l *Link) { l.DropResponses(droppedResponses) }, func(*Link) {})
		return noopEnd, nil
	case Pause, Crash, DiskFull:
		process := i.Processes[f.Target]
		if process == nil {
			return nil, fmt.Errorf("unknown process %s", f.Target)
		}
		return i.startProcessFault(f, process)
	}
	return nil, fmt.Errorf("unknown kind of fault %q", f.Kind)
}

// linkRules are the rules for all links of one process.
type linkRules struct{ fromProcess, toProcess LinkRule }

var (
	blocked     = Impairment{Blocked: true}
	delayed     = Impairment{Delay: maxFaultDelay / 2, Jitter: maxFaultDelay / 2}
	rulesByKind = map[FaultKind]linkRules{
		Partition:         {LinkRule{ToTarget: blocked, FromTarget: blocked}, LinkRule{ToTarget: blocked, FromTarget: blocked}},
		BlockInbound:      {LinkRule{FromTarget: blocked}, LinkRule{ToTarget: blocked}},
		BlockOutbound:     {LinkRule{ToTarget: blocked}, LinkRule{FromTarget: blocked}},
		Delay:             {LinkRule{ToTarget: delayed, FromTarget: delayed}, LinkRule{ToTarget: delayed, FromTarget: delayed}},
		RefuseConnections: {LinkRule{RefuseConnections: true}, LinkRule{RefuseConnections: true}},
	}
)

func (i *Injector) setRules(process string, rules linkRules) {
	i.eachLink(process, func(l *Link) { l.SetRule(rules.fromProcess) }, func(l *Link) { l.SetRule(rules.toProcess) })
}

// eachLink calls one function for the links from a process and another for those to it.
func (i *Injector) eachLink(process string, fromProcess, toProcess func(l *Link)) {
	for _, l := range i.Network.all() {
		switch from, to := linkEnds(l.Name); process {
		case from:
			fromProcess(l)
		case to:
			toProcess(l)
		}
	}
}

// linkEnds returns the names of the two processes of a link.
func linkEnds(name string) (from, to string) {
	name, _, _ = strings.Cut(name, ":")
	from, to, _ = strings.Cut(name, ">")
	return from, to
}

func noopEnd() error { return nil }

// endLinkFault returns the function that removes the rules from all links of a process.
func (i *Injector) endLinkFault(process string) func() error {
	return func() error {
		i.setRules(process, linkRules{})
		return nil
	}
}

func (i *Injector) delayThenPartition(f Fault) (end func() error) {
	i.setRules(f.Target, linkRules{fromProcess: LinkRule{FromTarget: Impairment{Delay: delayBeforePartition}}})
	partition := time.AfterFunc(f.Duration/2, func() { i.setRules(f.Target, rulesByKind[Partition]) })
	removeRules := i.endLinkFault(f.Target)
	return func() error {
		partition.Stop()
		return removeRules()
	}
}

func (i *Injector) startProcessFault(f Fault, process *Process) (end func() error, err error) {
	switch f.Kind {
	case Pause:
		return i.pause(f.Target, process)
	case DiskFull:
		return func() error { return process.setDiskFull(false) }, process.setDiskFull(true)
	default: // Crash
		if err := process.CrashError(); err != nil {
			return nil, fmt.Errorf("%s had failed before the injected crash: %w", f.Target, err)
		}
		process.Kill()
		return process.Start, nil
	}
}

func (i *Injector) pause(target string, process *Process) (end func() error, err error) {
	begin := time.Now()
	return func() error {
		err := process.Signal(syscall.SIGCONT)
		if i.OnPause != nil {
			i.OnPause(target, begin, time.Now())
		}
		return err
	}, process.Signal(syscall.SIGSTOP)
}

// Run injects the faults of a schedule at their times and returns when all have ended. When ctx ends,
// active faults end early.
func (i *Injector) Run(ctx context.Context, schedule Schedule) error {
	return schedule.Run(ctx, i.runFault)
}

// Run calls inject at the start of each fault and returns when all calls have returned. Faults that
// have not started when ctx ends are skipped.
func (s Schedule) Run(ctx context.Context, inject func(context.Context, Fault) error) error {
	start := time.Now()
	var faults sync.WaitGroup
	errs := make([]error, len(s))
	for index, f := range s {
		faults.Go(func() {
			if wait.Sleep(ctx, f.Start-time.Since(start)) {
				errs[index] = inject(ctx, f)
			}
		})
	}
	faults.Wait()
	return errors.Join(errs...)
}

func (i *Injector) runFault(ctx context.Context, f Fault) error {
	end, err := i.Inject(f)
	if err != nil {
		return err
	}
	wait.Sleep(ctx, f.Duration)
	if err := end(); err != nil {
		return fmt.Errorf("end of %v: %w", f, err)
	}
	return nil
}
