package registry

import (
	"errors"
	"net/http"
)

// errorStatuses says with which HTTP status the API answers an error. ErrLeaseHeld and
// ErrFenced wrap ErrConflict, so they come before it.
var errorStatuses = []struct {
	err    error
	status int
}{
	{ErrInvalid, http.StatusBadRequest},
	{ErrNotFound, http.StatusNotFound},
	{ErrFenced, http.StatusPreconditionFailed},
	{ErrLeaseHeld, http.StatusLocked},
	{ErrClaimEnded, http.StatusGone},
	{ErrConflict, http.StatusConflict},
	{ErrHostTaken, http.StatusConflict},
	{ErrLimitReached, http.StatusInsufficientStorage},
}

// HTTPStatus returns the status with which the API answers an error that says why a
// command was not carried out, and whether err is such an error. The client reads the
// same table the other way round.
func HTTPStatus(err error) (status int, ok bool) {
	for _, e := range errorStatuses {
		if errors.Is(err, e.err) {
			return e.status, true
		}
	}
	return 0, false
}
