package modelcheck

import (
	"math/rand/v2"
	"slices"
)

// Walker takes steps in one world and records them.
type Walker[W World[W]] struct {
	World W
	steps []Step[W]
}

// Take performs one step.
func (k *Walker[W]) Take(s Step[W]) *Violation {
	k.steps = append(k.steps, s)
	if err := s.Do(k.World); err != nil {
		return k.Violation(err)
	}
	return nil
}

// Violation returns an error together with the steps taken so far.
func (k *Walker[W]) Violation(err error) *Violation {
	v := &Violation{Err: err}
	for _, s := range k.steps {
		v.Steps = append(v.Steps, s.String())
	}
	return v
}

// maxStalledSteps bounds the number of steps for which an actor is stalled.
const maxStalledSteps = 40

// Walk takes up to the given number of steps, drawn at random by their weights. At times one of
// the actors is stalled: it takes no steps for a while, like a paused or partitioned process.
func (k *Walker[W]) Walk(rng *rand.Rand, steps, actors int) *Violation {
	stalledActor, stalledUntil := -1, 0
	for i := range steps {
		if i >= stalledUntil {
			stalledActor, stalledUntil = rng.IntN(2*actors)-actors, i+rng.IntN(maxStalledSteps)
		}
		possible := k.World.Steps()
		if len(possible) == 0 {
			return nil
		}
		possible = slices.DeleteFunc(possible, func(s Step[W]) bool { return stalledActor >= 0 && s.Actor == stalledActor })
		if len(possible) == 0 {
			continue
		}
		if v := k.Take(drawStep(rng, possible)); v != nil {
			return v
		}
	}
	return nil
}

// drawStep draws a step at random, with probabilities proportional to the weights.
func drawStep[W any](rng *rand.Rand, steps []Step[W]) Step[W] {
	total := 0
	for _, s := range steps {
		total += s.Weight
	}
	remaining := rng.IntN(total)
	for _, s := range steps {
		if remaining -= s.Weight; remaining < 0 {
			return s
		}
	}
	return steps[0]
}
