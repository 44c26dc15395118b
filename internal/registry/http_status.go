package registry

import (
	"errors"
	"net/http"
)

// errorStatuses maps errors to the HTTP statuses of the API. ErrLeaseHeld and ErrFenced
// wrap ErrConflict, so they precede it.
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

// HTTPStatus returns the HTTP status of the API for an error by which a command was
// rejected; ok reports whether err is such an error. The client uses the same table to
// map statuses to errors.
func HTTPStatus(err error) (status int, ok bool) {
	for _, e := range errorStatuses {
		if errors.Is(err, e.err) {
			return e.status, true
		}
	}
	return 0, false
}
