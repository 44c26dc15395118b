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
	// faultDelay is the longest delay of the fault Delay: longer than an election, and
	// shorter than the timeout of a call.
	faultDelay = 700 * time.Millisecond
	// fadeDelay is the delay of responses before the partition of DelayThenPartition: long
	// enough to matter to a lease of a second, and not so long that its holder gives up.
	fadeDelay = 440 * time.Millisecond
	// droppedResponses is how many responses one fault drops on each link.
	droppedResponses = 3
)

// Injector injects faults into processes and the links between them. A link's name is
// "from>to"; several between the same two are told apart by what follows a colon.
type Injector struct {
	Network   *Network
	Processes map[string]*Process // by name

	// ResolveTarget returns the process that has a role when a fault of that role starts, such
	// as the holder of a lease; nil: targets are names of processes.
	ResolveTarget func(target string) (process string)

	// OnPause is called for each process that was paused and has resumed; nil: nothing is.
	OnPause func(target string, begin, end time.Time)

	mu       sync.Mutex
	claimed  map[string]bool   // processes that have a fault, where targets are resolved
	Injected map[FaultKind]int // number of faults that were injected
}

// Inject starts a fault, and returns the function that ends it.
func (i *Injector) Inject(f Fault) (end func() error, err error) {
	if i.ResolveTarget != nil {
		f.Target = i.ResolveTarget(f.Target)
		if !i.claim(f.Target) {
			return endNothing, nil // another fault has this process already: it is left out
		}
		defer func() { end = i.releasing(f.Target, end) }()
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

// claim marks a process as having a fault, and reports whether it had none.
func (i *Injector) claim(process string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.claimed[process] {
		return false
	}
	if i.claimed == nil {
		i.claimed = make(map[string]bool)
	}
	i.claimed[process] = true
	return true
}

// releasing returns a function that ends a process's fault and lets it have another.
func (i *Injector) releasing(process string, end func() error) func() error {
	return func() error {
		defer func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			delete(i.claimed, process)
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
		return i.healer(f.Target), nil
	case DelayThenPartition:
		return i.delayThenPartition(f), nil
	case ResetConnections:
		i.eachLink(f.Target, (*Link).Reset, (*Link).Reset)
		return endNothing, nil
	case HalfOpen:
		i.eachLink(f.Target, (*Link).HalfOpen, (*Link).HalfOpen)
		return endNothing, nil
	case DropResponses:
		i.eachLink(f.Target, func(l *Link) { l.DropResponses(droppedResponses) }, func(*Link) {})
		return endNothing, nil
	case Pause, Crash, DiskFull:
		process := i.Processes[f.Target]
		if process == nil {
			return nil, fmt.Errorf("no process %s", f.Target)
		}
		return i.startProcessFault(f, process)
	}
	return nil, fmt.Errorf("no fault %q", f.Kind)
}

// linkRules are the rules of all links of one process.
type linkRules struct{ fromProcess, toProcess LinkRule }

var (
	blocked     = Impairment{Blocked: true}
	delayed     = Impairment{Delay: faultDelay / 2, Jitter: faultDelay / 2}
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

// linkEnds returns the names of the processes that a link is between.
func linkEnds(name string) (from, to string) {
	name, _, _ = strings.Cut(name, ":")
	from, to, _ = strings.Cut(name, ">")
	return from, to
}

func endNothing() error { return nil }

// healer returns the function that lets everything pass on the links of a process.
func (i *Injector) healer(process string) func() error {
	return func() error {
		i.setRules(process, linkRules{})
		return nil
	}
}

func (i *Injector) delayThenPartition(f Fault) (end func() error) {
	i.setRules(f.Target, linkRules{fromProcess: LinkRule{FromTarget: Impairment{Delay: fadeDelay}}})
	partition := time.AfterFunc(f.Duration/2, func() { i.setRules(f.Target, rulesByKind[Partition]) })
	heal := i.healer(f.Target)
	return func() error {
		partition.Stop()
		return heal()
	}
}

func (i *Injector) startProcessFault(f Fault, process *Process) (end func() error, err error) {
	switch f.Kind {
	case Pause:
		return i.pause(f.Target, process)
	case DiskFull:
		return func() error { return process.setDiskFull(false) }, process.setDiskFull(true)
	default: // Crash
		if err := process.Crashed(); err != nil {
			return nil, fmt.Errorf("%s has failed by itself before: %w", f.Target, err)
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

// Run injects the faults of a schedule at their times, and returns when all have ended.
// When ctx ends, those that have started are ended early.
func (i *Injector) Run(ctx context.Context, schedule Schedule) error {
	return schedule.Run(ctx, i.runFault)
}

// Run calls inject at the start of each fault, and returns when all calls have returned. A
// fault that has not started when ctx ends is left out.
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
