package registry

import (
	"errors"
	"fmt"
)

// Reasons why a command was rejected. The error of a Result wraps one of them, which
// callers distinguish with errors.Is. Their texts are part of the API's responses.
var (
	// ErrInvalid means that the command cannot be applied in any state.
	ErrInvalid = errors.New("bad command")
	// ErrNotFound means that an entry named by the command does not exist.
	ErrNotFound = errors.New("no such entry")
	// ErrConflict means that the command expects another version, group or owner.
	ErrConflict = errors.New("version conflict")
	// ErrHostTaken means that the host is registered by another session that has not expired.
	ErrHostTaken = errors.New("registered by another session that is alive")
	// ErrLimitReached means that the state holds the maximum number of entries.
	ErrLimitReached = errors.New("full")

	// ErrLeaseHeld means that the lease is held by another claim, or cannot be granted now.
	ErrLeaseHeld = fmt.Errorf("held by another: %w", ErrConflict)
	// ErrClaimEnded means that the claim has ended. The process may make a new claim.
	ErrClaimEnded = errors.New("the claim has ended")
	// ErrFenced means that the command's fencing token is not that of the lease's current grant.
	ErrFenced = fmt.Errorf("fenced off: %w", ErrConflict)
)

// reject returns an error that wraps reason and adds the details.
func reject(reason error, format string, args ...any) error {
	return fmt.Errorf("%w: %w", reason, fmt.Errorf(format, args...))
}

func invalid(format string, args ...any) error { return reject(ErrInvalid, format, args...) }

func notFound(format string, args ...any) error { return reject(ErrNotFound, format, args...) }

func conflict(format string, args ...any) error { return reject(ErrConflict, format, args...) }

func limitReached(format string, args ...any) error { return reject(ErrLimitReached, format, args...) }
