package modelcheck

import (
	"math/rand/v2"
	"slices"
)

// Walker takes steps in one world and remembers them.
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

// maxSilentSteps bounds the number of steps for which an actor is silent.
const maxSilentSteps = 40

// Walk takes steps drawn by their weights. Of the actors, which are numbered from 0, one at
// a time may take no step for a while, as a process that is paused or cut off.
func (k *Walker[W]) Walk(rng *rand.Rand, steps, actors int) *Violation {
	silent, until := -1, 0
	for i := range steps {
		if i >= until {
			silent, until = rng.IntN(2*actors)-actors, i+rng.IntN(maxSilentSteps)
		}
		possible := k.World.Steps()
		if len(possible) == 0 {
			return nil
		}
		possible = slices.DeleteFunc(possible, func(s Step[W]) bool { return silent >= 0 && s.Actor == silent })
		if len(possible) == 0 {
			continue
		}
		if v := k.Take(drawStep(rng, possible)); v != nil {
			return v
		}
	}
	return nil
}

// drawStep draws a step by the steps' weights.
func drawStep[W any](rng *rand.Rand, steps []Step[W]) Step[W] {
	total := 0
	for _, s := range steps {
		total += s.Weight
	}
	at := rng.IntN(total)
	for _, s := range steps {
		if at -= s.Weight; at < 0 {
			return s
		}
	}
	return steps[0]
}
