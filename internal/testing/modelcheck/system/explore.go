package system

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"time"
)

const (
	// maxFaults bounds the number of faults in one plan, maxOccurrence the occurrence of the step at
	// which a fault is injected.
	maxFaults     = 6
	maxOccurrence = 12
	// The duration of a fault in milliseconds is minFaultMS plus a random part below faultRangeMS.
	minFaultMS, faultRangeMS = 50, 5000
	// steeringDraws is the number of pairs drawn, of which the least covered one is used.
	steeringDraws = 8
	// batchSize is the number of schedules planned at once from the coverage of all earlier batches,
	// so that the plans do not depend on how many schedules run in parallel.
	batchSize = 128
	// planStream keeps the random numbers of plans independent of those of schedules.
	planStream = 222
)

var (
	faultTargets = []string{"leader", "follower", "holder:" + policyLease, "holder:" + drainsLease, "holder:" + overloadLease, "holder:" + timedLease, "s0", "s1", "k0", "k1", "r0", "r1"}
	diskTargets  = []string{"leader", "follower", "r0", "r1"}
)

// drawPlan draws the faults of a schedule. With steering, the first fault is drawn from the
// pairs that have been covered rarely so far.
func drawPlan(seed uint64, covered *Coverage, steer bool) (plan []Fault) {
	rng := rand.New(rand.NewPCG(seed, planStream))
	steps := sortedKeys(covered.Steps)
	if len(steps) == 0 {
		steps = []string{"leader elected"}
	}
	for n := range 1 + rng.IntN(maxFaults) {
		f := Fault{Step: pick(rng, steps), Kind: pick(rng, faultKinds), Target: pick(rng, faultTargets)}
		if steer && n == 0 {
			f.Kind, f.Step = drawRarePair(rng, covered, steps)
		}
		if f.Kind == DiskFull {
			f.Target = pick(rng, diskTargets)
		}
		// A fault at a later occurrence than a schedule usually reaches would never be injected.
		perSchedule := covered.Steps[f.Step] / max(1, covered.Schedules)
		f.Occurrence = 1 + rng.IntN(max(1, min(maxOccurrence, perSchedule)))
		f.Duration = time.Duration(minFaultMS+rng.IntN(faultRangeMS)) * time.Millisecond
		plan = append(plan, f)
	}
	return plan
}

// pick draws one of the values.
func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

// drawRarePair draws several pairs and returns the least covered one.
func drawRarePair(rng *rand.Rand, covered *Coverage, steps []string) (kind FaultKind, step string) {
	least := -1
	for range steeringDraws {
		k, s := pick(rng, faultKinds), pick(rng, steps)
		if count := covered.Pairs[Pair{k, s}]; least < 0 || count < least {
			least, kind, step = count, k, s
		}
	}
	return kind, step
}

// Explore runs up to the given number of schedules, with consecutive seeds from firstSeed, until
// one violates an invariant. It returns the coverage of all of them.
func Explore(firstSeed uint64, schedules int, steer bool) (Coverage, *Failure) {
	var total Coverage
	// A schedule without faults discovers which steps exist.
	covered, err := Run(firstSeed, nil)
	if err != nil {
		return covered, &Failure{Seed: firstSeed, Err: err, Schedules: 1}
	}
	total.add(covered)
	for done := 0; done < schedules; done += batchSize {
		plans := make([][]Fault, min(batchSize, schedules-done))
		for i := range plans {
			plans[i] = drawPlan(firstSeed+uint64(done+i), &total, steer)
		}
		for i, r := range runBatch(firstSeed+uint64(done), plans) {
			total.add(r.coverage)
			if r.err != nil {
				return total, &Failure{Seed: firstSeed + uint64(done+i), Plan: plans[i], Err: r.err, Schedules: done + i + 1}
			}
		}
	}
	return total, nil
}

// runResult is the result of Run.
type runResult struct {
	coverage Coverage
	err      error
}

// runBatch runs schedules in parallel. The seed of each is firstSeed plus its index.
func runBatch(firstSeed uint64, plans [][]Fault) []runResult {
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
				results[i].coverage, results[i].err = Run(firstSeed+uint64(i), plans[i])
			}
		})
	}
	workers.Wait()
	return results
}
