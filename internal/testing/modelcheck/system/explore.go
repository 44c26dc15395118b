package system

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
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

// Pair is a step that was taken while a fault went on.
type Pair struct {
	Kind FaultKind
	Step string
}

// recordStep notes one, and lets the faults fall that wait for it.
func (w *world) recordStep(name string) {
	w.stepCounts[name]++
	for _, f := range w.activeFaults {
		w.pairs[Pair{f.Kind, name}]++
	}
	for i, f := range w.plan {
		if !w.injected[i] && f.Step == name && f.Occurrence == w.stepCounts[name] {
			w.injected[i] = true
			w.after(0, func() { w.injectFault(i) })
		}
	}
}

// faultTarget is the process that a fault falls on now.
func (w *world) faultTarget(f Fault) *process {
	if lease, ok := strings.CutPrefix(f.Target, "holder:"); ok {
		for _, k := range w.controllers {
			if t := k.sessions[lease]; k.up && t != nil && t.Held(k.monotonic()) {
				return &k.process
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
	for _, k := range w.controllers {
		if k.name == f.Target {
			return &k.process
		}
	}
	for _, x := range w.sidecars {
		if x.name == f.Target {
			return &x.process
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
	for _, k := range w.controllers {
		all = append(all, &k.process)
	}
	for _, x := range w.sidecars {
		all = append(all, &x.process)
	}
	for _, p := range all {
		p.outboundBlocked, p.inboundBlocked, p.delayed = false, false, false
		p.setClockRate(1000)
		p.unpause()
		p.start()
	}
}

const (
	// faultPeriod is for how long faults may fall, settling how long all has afterwards to come
	// to rest: a change and a drain have their time-outs within it.
	faultPeriod  = 12 * time.Second
	settlePeriod = 13 * time.Second
	// linearizabilityEvery: of so many schedules one has its history of calls checked, which costs
	// as much as the others together.
	linearizabilityEvery = 8
)

// Coverage is what schedules went through, and what was judged in them.
type Coverage struct {
	Schedules, Events, Faults              int
	TimedActs, Advice, Policies            int
	ServerStops, Lists, AcknowledgedWrites int
	Requests, JointPolicies, FencedWrites  int
	Steps                                  map[string]int
	Pairs                                  map[Pair]int
}

func (s *Coverage) add(o Coverage) {
	s.Schedules += o.Schedules
	s.Events += o.Events
	s.Faults += o.Faults
	s.TimedActs += o.TimedActs
	s.Advice += o.Advice
	s.Policies += o.Policies
	s.ServerStops += o.ServerStops
	s.Lists += o.Lists
	s.AcknowledgedWrites += o.AcknowledgedWrites
	s.Requests += o.Requests
	s.JointPolicies += o.JointPolicies
	s.FencedWrites += o.FencedWrites
	if s.Steps == nil {
		s.Steps, s.Pairs = make(map[string]int), make(map[Pair]int)
	}
	for k, n := range o.Steps {
		s.Steps[k] += n
	}
	for k, n := range o.Pairs {
		s.Pairs[k] += n
	}
}

// Run plays one schedule: what is broken first, and what it went through.
func Run(seed uint64, plan []Fault) (Coverage, error) {
	w := newWorld(seed, plan)
	stop := func() bool { return w.err != nil }
	w.run(faultPeriod, stop)
	if w.err == nil {
		w.endFaults()
		w.run(faultPeriod+settlePeriod, stop)
	}
	if w.err == nil {
		w.checker.checkFinalState(w, seed%linearizabilityEvery == 0)
	}
	w.stopAll()
	s := Coverage{
		Schedules: 1, Events: w.processed, TimedActs: w.checker.timedActs, Advice: w.checker.advice, Policies: w.checker.policies, ServerStops: w.checker.serverStops,
		Lists: w.checker.lists, Requests: w.checker.requests, JointPolicies: w.checker.jointPolicies, FencedWrites: w.checker.fencedWrites, Steps: w.stepCounts, Pairs: w.pairs,
	}
	for _, a := range w.checker.acknowledged {
		s.AcknowledgedWrites += len(a)
	}
	for _, fell := range w.injected {
		if fell {
			s.Faults++
		}
	}
	return s, w.err
}

// stopAll ends all that runs.
func (w *world) stopAll() {
	w.operator.kill()
	for _, k := range w.controllers {
		k.kill()
	}
	for _, x := range w.sidecars {
		x.kill()
	}
}

// Failure is a schedule that breaks a promise.
type Failure struct {
	Seed      uint64
	Plan      []Fault
	Err       error
	Schedules int // until it was found
}

// FormatPlan is the plan as Parse reads it.
func FormatPlan(plan []Fault) string {
	parts := make([]string, len(plan))
	for i, f := range plan {
		parts[i] = f.String()
	}
	return strings.Join(parts, "; ")
}

const (
	maxFaults     = 6
	maxOccurrence = 12
	// batchSize is how many schedules are planned at once: from what was seen before them, so
	// that they are the same however many run side by side.
	batchSize = 128
)

var faultTargets = []string{"leader", "follower", "holder:" + policyLease, "holder:" + drainsLease, "holder:" + overloadLease, "holder:" + timedLease, "s0", "s1", "k0", "k1", "r0", "r1"}

// drawPlan makes a plan. With steering, the first fault is one of a pair that was seen the
// least so far.
func drawPlan(seed uint64, seen *Coverage, steer bool) (plan []Fault) {
	rng := rand.New(rand.NewPCG(seed, 222))
	steps := slices.Sorted(maps.Keys(seen.Steps))
	if len(steps) == 0 {
		steps = []string{"leader elected"}
	}
	for n := range 1 + rng.IntN(maxFaults) {
		f := Fault{Step: steps[rng.IntN(len(steps))], Kind: faultKinds[rng.IntN(len(faultKinds))], Target: faultTargets[rng.IntN(len(faultTargets))]}
		if steer && n == 0 {
			least := -1
			for range 8 { // of some pairs, the one seen least
				k, s := faultKinds[rng.IntN(len(faultKinds))], steps[rng.IntN(len(steps))]
				if at := seen.Pairs[Pair{k, s}]; least < 0 || at < least {
					least, f.Kind, f.Step = at, k, s
				}
			}
		}
		if f.Kind == DiskFull {
			f.Target = []string{"leader", "follower", "r0", "r1"}[rng.IntN(4)]
		}
		// One that is taken once in a play has to be hit the first time.
		f.Occurrence = 1 + rng.IntN(max(1, min(maxOccurrence, seen.Steps[f.Step]/max(1, seen.Schedules))))
		f.Duration = time.Duration(50+rng.IntN(5000)) * time.Millisecond
		plan = append(plan, f)
	}
	return plan
}

// Explore plays schedules from a seed on, until one breaks a promise. It returns what
// all of them went through.
func Explore(first uint64, schedules int, steer bool) (Coverage, *Failure) {
	var all Coverage
	// What steps there are is known from a play without faults.
	s, err := Run(first, nil)
	if err != nil {
		return s, &Failure{first, nil, err, 1}
	}
	all.add(s)
	for done := 0; done < schedules; done += batchSize {
		n := min(batchSize, schedules-done)
		plans := make([][]Fault, n)
		for i := range plans {
			plans[i] = drawPlan(first+uint64(done+i), &all, steer)
		}
		seen, errs := make([]Coverage, n), make([]error, n)
		var workers sync.WaitGroup
		next := make(chan int, n)
		for i := range n {
			next <- i
		}
		close(next)
		for range min(n, runtime.GOMAXPROCS(0)) {
			workers.Go(func() {
				for i := range next {
					seen[i], errs[i] = Run(first+uint64(done+i), plans[i])
				}
			})
		}
		workers.Wait()
		for i := range n {
			all.add(seen[i])
			if errs[i] != nil {
				return all, &Failure{first + uint64(done+i), plans[i], errs[i], done + i + 1}
			}
		}
	}
	return all, nil
}

// Shrink leaves out the faults that a broken promise does not need.
func (f *Failure) Shrink() *Failure {
	small := *f
	for i := 0; i < len(small.Plan); {
		rest := slices.Concat(small.Plan[:i], small.Plan[i+1:])
		if _, err := Run(f.Seed, rest); err != nil {
			small.Plan, small.Err = rest, err
		} else {
			i++
		}
	}
	return &small
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// ReplayText says what was found, and how to play it again.
func (f *Failure) ReplayText() string {
	return fmt.Sprintf("after %d schedules: %v; to play it again: testbench modelcheck --replay --seed %d --faults '%s'", f.Schedules, f.Err, f.Seed, FormatPlan(f.Plan))
}

// MaxPairs is how many pairs there could be of the steps that were seen.
func (s *Coverage) MaxPairs() int { return len(faultKinds) * len(s.Steps) }

// RarestPairs are all pairs of the steps that were seen, the one seen least first.
func (s *Coverage) RarestPairs() (all []Pair) {
	for _, k := range faultKinds {
		for _, step := range sortedKeys(s.Steps) {
			all = append(all, Pair{k, step})
		}
	}
	slices.SortStableFunc(all, func(a, b Pair) int { return cmp.Compare(s.Pairs[a], s.Pairs[b]) })
	return all
}
