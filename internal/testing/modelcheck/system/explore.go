package system

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"
)

const (
	// faultPeriod is for how long faults may fall, settling how long all has afterwards to come
	// to rest: a change and a drain have their time-outs within it.
	faultPeriod  = 12 * time.Second
	settlePeriod = 13 * time.Second
	// linearizabilityEvery: of so many schedules one has its history of calls checked, which costs
	// as much as the others together.
	linearizabilityEvery = 8
)

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
	for _, ctl := range w.controllers {
		ctl.kill()
	}
	for _, sc := range w.sidecars {
		sc.kill()
	}
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

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
