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

// Kind is a fault's kind.
type Kind string

// The faults. Those of links are of all links between a process and others.
const (
	Cut     Kind = "cut"     // a process hears nothing and is not heard
	Deaf    Kind = "deaf"    // what it asks arrives, no answer comes back
	Mute    Kind = "mute"    // what it asks does not arrive; what others ask does
	Late    Kind = "late"    // everything from and to it is late
	Fade    Kind = "fade"    // answers to it are late, and then it is cut off
	Reset   Kind = "reset"   // its connections are reset, once
	Half    Kind = "half"    // the far side of its connections is gone, once
	Refused Kind = "refused" // its connections are closed as they come
	Answers Kind = "answers" // some answers to it are lost
	Pause   Kind = "pause"   // it is stopped, and goes on
	Dead    Kind = "kill"    // it is killed, and starts again
	Full    Kind = "full"    // what it writes to files fails
)

// Full is drawn only where a plan names it: it is for processes that have a disk.
var kinds = []Kind{Cut, Deaf, Mute, Late, Fade, Reset, Half, Refused, Answers, Pause, Dead}

// Fault is one fault of one process, from a time on for a time.
type Fault struct {
	At, For time.Duration
	Kind    Kind
	Of      string
}

func (f Fault) String() string { return fmt.Sprintf("%v %s %s for %v", f.At, f.Kind, f.Of, f.For) }

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
		if len(words) != 5 || words[3] != "for" || Kind(words[1]) != Full && !slices.Contains(kinds, Kind(words[1])) {
			return nil, fmt.Errorf("fault %q: it has to be like '1.5s cut k1 for 3s', with one of %v", strings.TrimSpace(part), kinds)
		}
		f := Fault{Kind: Kind(words[1]), Of: words[2]}
		if f.At, err = time.ParseDuration(words[0]); err != nil {
			return nil, fmt.Errorf("fault %q: %w", strings.TrimSpace(part), err)
		}
		if f.For, err = time.ParseDuration(words[4]); err != nil {
			return nil, fmt.Errorf("fault %q: %w", strings.TrimSpace(part), err)
		}
		s = append(s, f)
	}
	return s, nil
}

// Plan is what schedules are drawn from.
type Plan struct {
	Of      []string      // processes
	Kinds   []Kind        // none: all but Full
	Faults  int           // how many
	Every   time.Duration // between the beginnings of two, in the mean
	Least   time.Duration // how long one lasts
	Most    time.Duration
	AtOnce  int // processes that are in trouble at one time, at most
	Quorum  []string
	QuorumN int // of Quorum, at most so many in trouble at a time; 0: no bound
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
	for at := time.Duration(0); len(s) < p.Faults; {
		at += p.Every/2 + time.Duration(rng.Int64N(int64(p.Every)))
		f := Fault{At: at.Round(time.Millisecond), Kind: from[rng.IntN(len(from))], Of: p.Of[rng.IntN(len(p.Of))]}
		f.For = (p.Least + time.Duration(rng.Int64N(int64(p.Most-p.Least)+1))).Round(time.Millisecond)
		now, quorum := 0, 0
		for of, until := range busy {
			if until > f.At {
				now++
				if slices.Contains(p.Quorum, of) {
					quorum++
				}
			}
		}
		if busy[f.Of] > f.At || now >= p.AtOnce || p.QuorumN > 0 && slices.Contains(p.Quorum, f.Of) && quorum >= p.QuorumN {
			continue
		}
		busy[f.Of] = f.At + f.For
		s = append(s, f)
	}
	return s
}

// Rig is the processes and the links that faults fall on. A link's name is
// "from>to"; several between the same two are told apart by what follows a colon.
type Rig struct {
	Net       *Net
	Processes map[string]*Process

	// OnPause is told of each process that was stopped and went on; it may be nil.
	OnPause func(of string, begin, end time.Time)

	mu   sync.Mutex
	Done map[Kind]int // faults that came to be
}

func ends(link string) (from, to string) {
	link, _, _ = strings.Cut(link, ":")
	from, to, _ = strings.Cut(link, ">")
	return from, to
}

// set puts rules in force on the links from and to a process.
func (r *Rig) set(of string, from, to func(l *Link)) {
	for _, l := range r.Net.Match(func(string) bool { return true }) {
		switch a, b := ends(l.Name); of {
		case a:
			from(l)
		case b:
			to(l)
		}
	}
}

func rule(x Rule) func(l *Link) { return func(l *Link) { l.Set(x) } }

const (
	// lateBy is how late a late process's words come: longer than an election, and under
	// the time that a call has.
	lateBy = 700 * time.Millisecond
	// fadeBy is how late answers come before a cut: late enough to matter to a lease of
	// a second, and not so late that its holder gives up on them.
	fadeBy = 440 * time.Millisecond
)

// lostAnswers is how many answers on each link are lost by one fault.
const lostAnswers = 3

// Begin begins a fault, and returns what ends it.
func (r *Rig) Begin(f Fault) (end func() error, err error) {
	nothing := func() error { return nil }
	cut, late := Way{Cut: true}, Way{Delay: lateBy / 2, Jitter: lateBy / 2}
	heal := func() error {
		r.set(f.Of, rule(Rule{}), rule(Rule{}))
		return nil
	}
	p := r.Processes[f.Of]
	end = heal
	switch f.Kind {
	case Cut:
		r.set(f.Of, rule(Rule{Out: cut, Back: cut}), rule(Rule{Out: cut, Back: cut}))
	case Deaf:
		r.set(f.Of, rule(Rule{Back: cut}), rule(Rule{Out: cut}))
	case Mute:
		r.set(f.Of, rule(Rule{Out: cut}), rule(Rule{Back: cut}))
	case Late:
		r.set(f.Of, rule(Rule{Out: late, Back: late}), rule(Rule{Out: late, Back: late}))
	case Fade:
		slow := Way{Delay: fadeBy}
		r.set(f.Of, rule(Rule{Back: slow}), rule(Rule{}))
		timer := time.AfterFunc(f.For/2, func() { r.set(f.Of, rule(Rule{Out: cut, Back: cut}), rule(Rule{Out: cut, Back: cut})) })
		end = func() error {
			timer.Stop()
			return heal()
		}
	case Refused:
		r.set(f.Of, rule(Rule{Refuse: true}), rule(Rule{Refuse: true}))
	case Reset:
		r.set(f.Of, (*Link).Reset, (*Link).Reset)
		end = nothing
	case Half:
		r.set(f.Of, (*Link).HalfOpen, (*Link).HalfOpen)
		end = nothing
	case Answers:
		r.set(f.Of, func(l *Link) { l.LoseAnswers(lostAnswers) }, func(*Link) {})
		end = nothing
	case Pause:
		if p == nil {
			return nil, fmt.Errorf("no process %s", f.Of)
		}
		began := time.Now()
		err = p.Signal(syscall.SIGSTOP)
		end = func() error {
			err := p.Signal(syscall.SIGCONT)
			if r.OnPause != nil {
				r.OnPause(f.Of, began, time.Now())
			}
			return err
		}
	case Full:
		if p == nil {
			return nil, fmt.Errorf("no process %s", f.Of)
		}
		err = p.fill(true)
		end = func() error { return p.fill(false) }
	case Dead:
		if p == nil {
			return nil, fmt.Errorf("no process %s", f.Of)
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
	if r.Done == nil {
		r.Done = make(map[Kind]int)
	}
	r.Done[f.Kind]++
	return end, nil
}

// Play plays a schedule, and returns when all its faults have ended. What ctx cuts
// short is ended too.
func (r *Rig) Play(ctx context.Context, s Schedule) error {
	began := time.Now()
	var all sync.WaitGroup
	errs := make([]error, len(s))
	for i, f := range s {
		all.Go(func() {
			if !sleep(ctx, f.At-time.Since(began)) {
				return
			}
			end, err := r.Begin(f)
			if err != nil {
				errs[i] = err
				return
			}
			sleep(ctx, f.For)
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
