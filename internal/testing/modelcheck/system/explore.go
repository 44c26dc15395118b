package system

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"time"
)

const (
	// maxFaults bounds the faults of one plan, maxOccurrence which occurrence of a step one is
	// injected at.
	maxFaults     = 6
	maxOccurrence = 12
	// The duration of a fault is drawn between these, in milliseconds.
	minFaultMS, faultRangeMS = 50, 5000
	// steeringDraws is of how many pairs the rarest is taken.
	steeringDraws = 8
	// batchSize is how many schedules are planned at once, from the coverage before them:
	// they are the same then however many run in parallel.
	batchSize = 128
	// planStream separates the random numbers of plans from those of the schedules.
	planStream = 222
)

var (
	faultTargets = []string{"leader", "follower", "holder:" + policyLease, "holder:" + drainsLease, "holder:" + overloadLease, "holder:" + timedLease, "s0", "s1", "k0", "k1", "r0", "r1"}
	diskTargets  = []string{"leader", "follower", "r0", "r1"}
)

// drawPlan draws the faults of a schedule. With steering, the first fault is one of a pair
// that was covered rarely so far.
func drawPlan(seed uint64, covered *Coverage, steer bool) (plan []Fault) {
	rng := rand.New(rand.NewPCG(seed, planStream))
	steps := sortedKeys(covered.Steps)
	if len(steps) == 0 {
		steps = []string{"leader elected"}
	}
	for n := range 1 + rng.IntN(maxFaults) {
		f := Fault{Step: pick(rng, steps), Kind: pick(rng, faultKinds), Target: pick(rng, faultTargets)}
		if steer && n == 0 {
			f.Kind, f.Step = rarePair(rng, covered, steps)
		}
		if f.Kind == DiskFull {
			f.Target = pick(rng, diskTargets)
		}
		// A step that is taken once in a schedule has to be met at its first occurrence.
		perSchedule := covered.Steps[f.Step] / max(1, covered.Schedules)
		f.Occurrence = 1 + rng.IntN(max(1, min(maxOccurrence, perSchedule)))
		f.Duration = time.Duration(minFaultMS+rng.IntN(faultRangeMS)) * time.Millisecond
		plan = append(plan, f)
	}
	return plan
}

// pick draws one of some values.
func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

// rarePair draws some pairs and returns the one covered least.
func rarePair(rng *rand.Rand, covered *Coverage, steps []string) (kind FaultKind, step string) {
	least := -1
	for range steeringDraws {
		k, s := pick(rng, faultKinds), pick(rng, steps)
		if count := covered.Pairs[Pair{k, s}]; least < 0 || count < least {
			least, kind, step = count, k, s
		}
	}
	return kind, step
}

// Explore runs schedules with seeds from first on, until one violates an invariant. It
// returns what all of them covered.
func Explore(first uint64, schedules int, steer bool) (Coverage, *Failure) {
	var all Coverage
	// A schedule without faults shows which steps there are.
	covered, err := Run(first, nil)
	if err != nil {
		return covered, &Failure{Seed: first, Err: err, Schedules: 1}
	}
	all.add(covered)
	for done := 0; done < schedules; done += batchSize {
		plans := make([][]Fault, min(batchSize, schedules-done))
		for i := range plans {
			plans[i] = drawPlan(first+uint64(done+i), &all, steer)
		}
		for i, r := range runBatch(first+uint64(done), plans) {
			all.add(r.coverage)
			if r.err != nil {
				return all, &Failure{Seed: first + uint64(done+i), Plan: plans[i], Err: r.err, Schedules: done + i + 1}
			}
		}
	}
	return all, nil
}

// runResult is what Run returned.
type runResult struct {
	coverage Coverage
	err      error
}

// runBatch runs schedules in parallel. The seed of each is first plus its index.
func runBatch(first uint64, plans [][]Fault) []runResult {
	results := make([]runResult, len(plans))
	next := make(chan int, len(plans))
	for i := range plans {
		next <- i
	}
	close(next)
	var workers sync.WaitGroup
	for range min(len(plans), runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := range next {
				results[i].coverage, results[i].err = Run(first+uint64(i), plans[i])
			}
		})
	}
	workers.Wait()
	return results
}
