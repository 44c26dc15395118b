package overload

import "fmt"

// AdviceFilter decides which advice a sidecar puts into force: that of the latest lease holder,
// in the order in which it was planned. It is not safe for concurrent use.
type AdviceFilter struct {
	Fleet string

	token, number uint64 // of the last advice that was accepted
}

// Accept returns an error if the advice must not be put into force.
func (f *AdviceFilter) Accept(a Advice) error {
	if err := a.Check(); err != nil {
		return err
	}
	switch {
	case a.Fleet != f.Fleet:
		return fmt.Errorf("%w: it is for fleet %.64q, this is %q", ErrBadMessage, a.Fleet, f.Fleet)
	case a.Token < f.token:
		return fmt.Errorf("%w: it is under token %d, an earlier holder's: %d is known", ErrBadMessage, a.Token, f.token)
	case a.Token == f.token && a.Number <= f.number:
		return fmt.Errorf("%w: number %d came already", ErrBadMessage, f.number)
	}
	f.token, f.number = a.Token, a.Number
	return nil
}
