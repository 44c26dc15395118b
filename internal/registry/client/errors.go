package client

import (
	"errors"
	"net/http"

	"barleywick/internal/registry"
)

// Error is a final rejection by the registry: retrying the same call is useless.
type Error struct {
	Status  int    // status code of the HTTP response
	Message string // one line
}

// Error returns the registry's message.
func (e *Error) Error() string { return e.Message }

// Is makes errors.Is work with the errors of package registry. It compares statuses, which
// are ambiguous: 409 matches both ErrConflict and ErrHostTaken.
func (e *Error) Is(target error) bool {
	status, ok := registry.HTTPStatus(target)
	if !ok {
		return false
	}
	if status == http.StatusBadRequest && e.Status == http.StatusRequestEntityTooLarge {
		return true
	}
	return e.Status == status
}

// ErrUnreachable means that no replica executed the call before its context or timeout
// ended. A write may have been applied nevertheless; every write can safely be retried.
var ErrUnreachable = errors.New("no replica of the registry answers")
