package faultinjection

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
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

// Plan is what schedules are drawn from.
type Plan struct {
	Targets         []string      // processes
	Kinds           []FaultKind   // none: all but Full
	Count           int           // how many
	MeanInterval    time.Duration // between the beginnings of two, in the mean
	MinDuration     time.Duration // how long one lasts
	MaxDuration     time.Duration
	MaxConcurrent   int // processes that are in trouble at one time, at most
	QuorumGroup     []string
	MaxQuorumFaults int // of Quorum, at most so many in trouble at a time; 0: no bound
}

// Draw draws a schedule from a seed.
func (p Plan) Draw(seed uint64) Schedule {
	rng := rand.New(rand.NewPCG(seed, 11))
	from := p.Kinds
	if len(from) == 0 {
		from = kinds
	}
	busy := make(map[string]time.Duration) // until when a process is in trouble
	var s Schedule
	for at := time.Duration(0); len(s) < p.Count; {
		at += p.MeanInterval/2 + time.Duration(rng.Int64N(int64(p.MeanInterval)))
		f := Fault{Start: at.Round(time.Millisecond), Kind: from[rng.IntN(len(from))], Target: p.Targets[rng.IntN(len(p.Targets))]}
		f.Duration = (p.MinDuration + time.Duration(rng.Int64N(int64(p.MaxDuration-p.MinDuration)+1))).Round(time.Millisecond)
		now, quorum := 0, 0
		for of, until := range busy {
			if until > f.Start {
				now++
				if slices.Contains(p.QuorumGroup, of) {
					quorum++
				}
			}
		}
		if busy[f.Target] > f.Start || now >= p.MaxConcurrent || p.MaxQuorumFaults > 0 && slices.Contains(p.QuorumGroup, f.Target) && quorum >= p.MaxQuorumFaults {
			continue
		}
		busy[f.Target] = f.Start + f.Duration
		s = append(s, f)
	}
	return s
}

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

// Shrink leaves faults out as long as what is left still fails, half of them first and
// each by itself in the end. It asks at most so many times.
func Shrink(s Schedule, most int, fails func(Schedule) bool) Schedule {
	for size := (len(s) + 1) / 2; size > 0; {
		smaller := false
		for i := 0; i+size <= len(s) && most > 0; {
			rest := slices.Concat(s[:i], s[i+size:])
			if most--; fails(rest) {
				s, smaller = rest, true
			} else {
				i += size
			}
		}
		if !smaller || size > 1 {
			size /= 2
		}
		if most <= 0 {
			break
		}
	}
	return s
}
