package client

import (
	"errors"
	"net/http"

	"barleywick/internal/registry"
)

// Error is a registry's plain refusal. It is final: the same call gets it again.
type Error struct {
	Status  int
	Message string
	Version uint64 // what the entry or record is at, where the registry says so
}

func (e *Error) Error() string { return e.Message }

// Is lets callers ask with errors.Is for the registry's own errors.
func (e *Error) Is(target error) bool {
	switch target {
	case registry.ErrConflict, registry.ErrHostTaken:
		return e.Status == http.StatusConflict
	case registry.ErrLeaseHeld:
		return e.Status == http.StatusLocked
	case registry.ErrClaimEnded:
		return e.Status == http.StatusGone
	case registry.ErrFenced:
		return e.Status == http.StatusPreconditionFailed
	case registry.ErrNotFound:
		return e.Status == http.StatusNotFound
	case registry.ErrLimitReached:
		return e.Status == http.StatusInsufficientStorage
	case registry.ErrInvalid:
		return e.Status == http.StatusBadRequest || e.Status == http.StatusRequestEntityTooLarge
	}
	return false
}

// ErrUnreachable says that no replica could do what was asked in time. What was
// written may have been done; every write can be sent again.
var ErrUnreachable = errors.New("no replica of the registry answers")
