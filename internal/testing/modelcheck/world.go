// Package modelcheck explores the reachable states of a small model. A World lists the steps
// that are possible next: Search tries all of them up to a depth, a Walker takes random ones.
// A run uses one goroutine, no clock and no I/O, so it is reproducible.
package modelcheck

import (
	"fmt"
	"strings"
)

// World is a complete state of a model. W is the type that implements it.
type World[W any] interface {
	// Clone returns a copy that shares no mutable state with the original.
	Clone() W
	// Steps lists the steps that are possible in this state.
	Steps() []Step[W]
	// Key appends an encoding of the state to text. Two states with the same key have the
	// same possible continuations.
	Key(text []byte) []byte
}

// Step is one possible transition of a world.
type Step[W any] struct {
	Format string          // the step's name, with formatting verbs for A and B
	A, B   any             // arguments of Format; nil if there are none
	Do     func(w W) error // performs the step; an error is a violated invariant
	Weight int             // relative probability that a walk takes the step
	Actor  int             // the actor that performs the step, numbered from 0; -1: none
}

// String returns the step's name. The name is formatted only on demand, as most steps are never taken.
func (s Step[W]) String() string {
	switch {
	case s.B != nil:
		return fmt.Sprintf(s.Format, s.A, s.B)
	case s.A != nil:
		return fmt.Sprintf(s.Format, s.A)
	}
	return s.Format
}

// Violation is a violated invariant with the steps that led to it.
type Violation struct {
	Err   error
	Steps []string
}

// Error returns the violated invariant and the steps, one per line.
func (v *Violation) Error() string {
	return fmt.Sprintf("%v, after %d steps:\n  %s", v.Err, len(v.Steps), strings.Join(v.Steps, "\n  "))
}
