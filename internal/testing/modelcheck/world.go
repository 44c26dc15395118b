// Package modelcheck searches the states that a small model can reach. A World lists the
// steps that may happen next; Search tries all of them to a depth, a Walker draws them from
// a seed. There is one goroutine, no clock and no I/O, so a run can be repeated.
package modelcheck

import (
	"fmt"
	"strings"
)

// World is a complete state of a model, of type W.
type World[W any] interface {
	// Clone returns a copy that shares no mutable state with the original.
	Clone() W
	// Steps lists what may happen next.
	Steps() []Step[W]
	// Key appends what distinguishes the state from others: two states with the same key
	// have the same future.
	Key(text []byte) []byte
}

// Step is one thing that may happen next.
type Step[W any] struct {
	Format string          // the step's name, with verbs for A and B
	A, B   any             // arguments of Format; nil if there are none
	Do     func(w W) error // performs the step; an error is a violated invariant
	Weight int             // how likely a walk takes it, relative to the others
	Actor  int             // which actor's step it is, from 0 on; -1: nobody's
}

// String returns the step's name. It is formatted only on demand, as most steps are not taken.
func (s Step[W]) String() string {
	switch {
	case s.B != nil:
		return fmt.Sprintf(s.Format, s.A, s.B)
	case s.A != nil:
		return fmt.Sprintf(s.Format, s.A)
	}
	return s.Format
}

// Violation is a violated invariant with the steps that lead to it.
type Violation struct {
	Err   error
	Steps []string
}

// Error returns the violated invariant and the steps, one a line.
func (v *Violation) Error() string {
	return fmt.Sprintf("%v, after %d steps:\n  %s", v.Err, len(v.Steps), strings.Join(v.Steps, "\n  "))
}
