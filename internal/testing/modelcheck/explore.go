// Package modelcheck searches what a small world may come to. A world says what may
// happen next; Search tries all of it to a depth, Walk draws it from a seed. There is
// one goroutine, no clock and no I/O: what happens is chosen here.
package modelcheck

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"strings"
)

// World is a state of everything, of type W.
type World[W any] interface {
	// Clone returns a copy that shares nothing that changes.
	Clone() W
	// Steps lists what may happen next.
	Steps() []Step[W]
	// Key appends what tells the state from others: two with the same key have the
	// same future.
	Key(text []byte) []byte
}

// Step is one thing that may happen next.
type Step[W any] struct {
	Format string // its name, with what stands in it
	A, B   any
	Do     func(w W) error // an error is a promise that is broken now
	Weight int             // how often a walk takes it, against the others
	Actor  int             // whose step it is, from 0 on; -1: nobody's
}

// String names the step. It is put together only for who asks: most are not taken.
func (s Step[W]) String() string {
	switch {
	case s.B != nil:
		return fmt.Sprintf(s.Format, s.A, s.B)
	case s.A != nil:
		return fmt.Sprintf(s.Format, s.A)
	}
	return s.Format
}

// Violation is a broken invariant, and the steps that lead to it.
type Violation struct {
	Err   error
	Steps []string
}

func (f *Violation) Error() string {
	return fmt.Sprintf("%v, after %d steps:\n  %s", f.Err, len(f.Steps), strings.Join(f.Steps, "\n  "))
}

// node is one state met, and how.
type node[W any] struct {
	world  W
	parent *node[W]
	step   Step[W]
}

func (n *node[W]) path() (steps []string) {
	for ; n.parent != nil; n = n.parent {
		steps = append(steps, n.step.String())
	}
	slices.Reverse(steps)
	return steps
}

// Search tries every choice from a world on, the shallow ones first, to a depth or
// until so many states have been met. It returns how many there were, the depth that
// was tried in full, and what was broken first. seen, if any, looks at each state that
// a step led to, new or not.
func Search[W World[W]](first W, depth, most int, seen func(W)) (states, full int, found *Violation) {
	seeds := [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}
	met := make(map[[2]uint64]struct{}) // two hashes of 64 bits: one may happen to agree
	var text []byte
	fresh := func(w W) bool {
		text = w.Key(text[:0])
		k := [2]uint64{maphash.Bytes(seeds[0], text), maphash.Bytes(seeds[1], text)}
		_, known := met[k]
		met[k] = struct{}{}
		return !known
	}
	fresh(first)
	layer := []*node[W]{{world: first}}
	for full < depth && len(layer) > 0 {
		var next []*node[W]
		for _, n := range layer {
			for _, step := range n.world.Steps() {
				w := n.world.Clone()
				err := step.Do(w)
				if seen != nil {
					seen(w)
				}
				if err != nil {
					return len(met), full, &Violation{err, append(n.path(), step.String())}
				}
				if fresh(w) {
					next = append(next, &node[W]{w, n, step})
				}
				if len(met) >= most {
					return len(met), full, nil
				}
			}
			var none W
			n.world = none // only the trail is wanted any more
		}
		layer = next
		full++
	}
	return len(met), full, nil
}

// Walker takes steps of one world, and remembers them.
type Walker[W World[W]] struct {
	World W
	steps []Step[W]
}

// Take takes one step.
func (k *Walker[W]) Take(s Step[W]) *Violation {
	k.steps = append(k.steps, s)
	if err := s.Do(k.World); err != nil {
		return k.Violation(err)
	}
	return nil
}

// Violation returns an error together with the steps taken so far.
func (k *Walker[W]) Violation(err error) *Violation {
	f := &Violation{Err: err}
	for _, s := range k.steps {
		f.Steps = append(f.Steps, s.String())
	}
	return f
}

// maxSilentSteps is for how many steps somebody may say nothing, at most.
const maxSilentSteps = 40

// Walk takes so many steps, drawn by their weights. Of those whose steps there are, of
// in number, one at a time may say nothing for a while, as one that is stopped or cut off.
func (k *Walker[W]) Walk(rng *rand.Rand, steps, of int) *Violation {
	silent, until := -1, 0
	for i := range steps {
		if i >= until {
			silent, until = rng.IntN(2*of)-of, i+rng.IntN(maxSilentSteps)
		}
		all := k.World.Steps()
		if len(all) == 0 {
			return nil
		}
		all = slices.DeleteFunc(all, func(s Step[W]) bool { return silent >= 0 && s.Actor == silent })
		if len(all) == 0 {
			continue
		}
		if f := k.Take(drawStep(rng, all)); f != nil {
			return f
		}
	}
	return nil
}

// drawStep draws a step.
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
