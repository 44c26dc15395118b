package client

import (
	"errors"
	"net/http"

	"barleywick/internal/registry"
)

// Error is a refusal by the registry. It is final: the same call gets it again.
type Error struct {
	Status  int    // of the HTTP response
	Message string // one line
}

// Error returns the registry's message.
func (e *Error) Error() string { return e.Message }

// Is lets callers ask with errors.Is for the errors of package registry. A status tells
// less than they do: 409 is both ErrConflict and ErrHostTaken.
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

// ErrUnreachable says that no replica could do what was asked in time. What was
// written may have been done; every write can be sent again.
var ErrUnreachable = errors.New("no replica of the registry answers")
