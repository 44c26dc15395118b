package overload

import "fmt"

// AdviceFilter decides which advice a sidecar puts into force: only that of the latest lease holder,
// and only in the order in which it was planned. It is not safe for concurrent use.
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
		return fmt.Errorf("%w: advice is for fleet %.64q, want %q", ErrInvalidMessage, a.Fleet, f.Fleet)
	case a.Token < f.token:
		return fmt.Errorf("%w: token %d is an earlier lease holder's, the latest is %d", ErrInvalidMessage, a.Token, f.token)
	case a.Token == f.token && a.Number <= f.number:
		return fmt.Errorf("%w: number is not above %d, the last one accepted", ErrInvalidMessage, f.number)
	}
	f.token, f.number = a.Token, a.Number
	return nil
}
