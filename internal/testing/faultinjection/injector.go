package faultinjection

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Injector is the processes and the links that faults fall on. A link's name is
// "from>to"; several between the same two are told apart by what follows a colon.
type Injector struct {
	Network   *Network
	Processes map[string]*Process

	// OnPause is told of each process that was stopped and went on; it may be nil.
	OnPause func(of string, begin, end time.Time)

	mu       sync.Mutex
	Injected map[FaultKind]int // faults that came to be
}

func linkEnds(link string) (from, to string) {
	link, _, _ = strings.Cut(link, ":")
	from, to, _ = strings.Cut(link, ">")
	return from, to
}

// eachLink puts rules in force on the links from and to a process.
func (r *Injector) eachLink(of string, from, to func(l *Link)) {
	for _, l := range r.Network.FindLinks(func(string) bool { return true }) {
		switch a, b := linkEnds(l.Name); of {
		case a:
			from(l)
		case b:
			to(l)
		}
	}
}

func setRule(x LinkRule) func(l *Link) { return func(l *Link) { l.SetRule(x) } }

const (
	// faultDelay is how late a late process's words come: longer than an election, and under
	// the time that a call has.
	faultDelay = 700 * time.Millisecond
	// fadeDelay is how late answers come before a cut: late enough to matter to a lease of
	// a second, and not so late that its holder gives up on them.
	fadeDelay = 440 * time.Millisecond
)

// droppedResponses is how many answers on each link are lost by one fault.
const droppedResponses = 3

// Inject begins a fault, and returns what ends it.
func (r *Injector) Inject(f Fault) (end func() error, err error) {
	nothing := func() error { return nil }
	cut, late := Impairment{Blocked: true}, Impairment{Delay: faultDelay / 2, Jitter: faultDelay / 2}
	heal := func() error {
		r.eachLink(f.Target, setRule(LinkRule{}), setRule(LinkRule{}))
		return nil
	}
	p := r.Processes[f.Target]
	end = heal
	switch f.Kind {
	case Partition:
		r.eachLink(f.Target, setRule(LinkRule{ToTarget: cut, FromTarget: cut}), setRule(LinkRule{ToTarget: cut, FromTarget: cut}))
	case BlockInbound:
		r.eachLink(f.Target, setRule(LinkRule{FromTarget: cut}), setRule(LinkRule{ToTarget: cut}))
	case BlockOutbound:
		r.eachLink(f.Target, setRule(LinkRule{ToTarget: cut}), setRule(LinkRule{FromTarget: cut}))
	case Delay:
		r.eachLink(f.Target, setRule(LinkRule{ToTarget: late, FromTarget: late}), setRule(LinkRule{ToTarget: late, FromTarget: late}))
	case DelayThenPartition:
		slow := Impairment{Delay: fadeDelay}
		r.eachLink(f.Target, setRule(LinkRule{FromTarget: slow}), setRule(LinkRule{}))
		timer := time.AfterFunc(f.Duration/2, func() {
			r.eachLink(f.Target, setRule(LinkRule{ToTarget: cut, FromTarget: cut}), setRule(LinkRule{ToTarget: cut, FromTarget: cut}))
		})
		end = func() error {
			timer.Stop()
			return heal()
		}
	case RefuseConnections:
		r.eachLink(f.Target, setRule(LinkRule{RefuseConnections: true}), setRule(LinkRule{RefuseConnections: true}))
	case ResetConnections:
		r.eachLink(f.Target, (*Link).Reset, (*Link).Reset)
		end = nothing
	case HalfOpen:
		r.eachLink(f.Target, (*Link).HalfOpen, (*Link).HalfOpen)
		end = nothing
	case DropResponses:
		r.eachLink(f.Target, func(l *Link) { l.DropResponses(droppedResponses) }, func(*Link) {})
		end = nothing
	case Pause:
		if p == nil {
			return nil, fmt.Errorf("no process %s", f.Target)
		}
		began := time.Now()
		err = p.Signal(syscall.SIGSTOP)
		end = func() error {
			err := p.Signal(syscall.SIGCONT)
			if r.OnPause != nil {
				r.OnPause(f.Target, began, time.Now())
			}
			return err
		}
	case DiskFull:
		if p == nil {
			return nil, fmt.Errorf("no process %s", f.Target)
		}
		err = p.setDiskFull(true)
		end = func() error { return p.setDiskFull(false) }
	case Crash:
		if p == nil {
			return nil, fmt.Errorf("no process %s", f.Target)
		}
		p.Kill()
		end = p.Start
	default:
		return nil, fmt.Errorf("no fault %q", f.Kind)
	}
	if err != nil {
		return nil, fmt.Errorf("%v: %w", f, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Injected == nil {
		r.Injected = make(map[FaultKind]int)
	}
	r.Injected[f.Kind]++
	return end, nil
}

// Run plays a schedule, and returns when all its faults have ended. What ctx cuts
// short is ended too.
func (r *Injector) Run(ctx context.Context, s Schedule) error {
	began := time.Now()
	var all sync.WaitGroup
	errs := make([]error, len(s))
	for i, f := range s {
		all.Go(func() {
			if !sleep(ctx, f.Start-time.Since(began)) {
				return
			}
			end, err := r.Inject(f)
			if err != nil {
				errs[i] = err
				return
			}
			sleep(ctx, f.Duration)
			if err := end(); err != nil {
				errs[i] = fmt.Errorf("end of %v: %w", f, err)
			}
		})
	}
	all.Wait()
	return cmp.Or(errs...)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
