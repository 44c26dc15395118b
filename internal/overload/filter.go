package overload

import (
	"fmt"
)

// AdviceFilter decides which advice a sidecar takes: that of the latest holder, in order.
type AdviceFilter struct {
	Fleet         string
	token, number uint64
}

// Accept says whether advice is to be put in force.
func (t *AdviceFilter) Accept(a Advice) error {
	if err := a.Check(); err != nil {
		return err
	}
	switch {
	case a.Fleet != t.Fleet:
		return fmt.Errorf("%w: it is for fleet %.64q, this is %q", ErrBadMessage, a.Fleet, t.Fleet)
	case a.Token < t.token:
		return fmt.Errorf("%w: it is under token %d, an earlier holder's: %d is known", ErrBadMessage, a.Token, t.token)
	case a.Token == t.token && a.Number <= t.number:
		return fmt.Errorf("%w: number %d came already", ErrBadMessage, t.number)
	}
	t.token, t.number = a.Token, a.Number
	return nil
}
