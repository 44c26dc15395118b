package registry

import (
	"errors"
	"fmt"
	"testing"
)

func TestHTTPStatus(t *testing.T) {
	for err, want := range map[error]int{
		ErrInvalid: 400, ErrNotFound: 404, ErrConflict: 409, ErrHostTaken: 409, ErrClaimEnded: 410, ErrFenced: 412, ErrLeaseHeld: 423, ErrLimitReached: 507,
	} {
		if got, ok := HTTPStatus(fmt.Errorf("wrapped: %w", err)); !ok || got != want {
			t.Errorf("%v: got %d, %v, want %d", err, got, ok, want)
		}
	}
	for _, err := range []error{nil, errors.New("another error")} {
		if got, ok := HTTPStatus(err); ok {
			t.Errorf("%v: got %d, want none", err, got)
		}
	}
}
