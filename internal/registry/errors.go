package registry

import (
	"errors"
	"fmt"
)

// These errors say why a command was not carried out. The error of a Result wraps one of
// them; callers choose by it with errors.Is. Their texts are part of the API's responses.
var (
	// ErrInvalid says that the command cannot be carried out in any state.
	ErrInvalid = errors.New("bad command")
	// ErrNotFound says that what the command names does not exist.
	ErrNotFound = errors.New("no such entry")
	// ErrConflict says that the command expects another version, group or owner.
	ErrConflict = errors.New("version conflict")
	// ErrHostTaken says that another session, which is still alive, has registered the host.
	ErrHostTaken = errors.New("registered by another session that is alive")
	// ErrLimitReached says that the state holds as many entries as it may.
	ErrLimitReached = errors.New("full")

	// ErrLeaseHeld says that the lease is held by another claim, or cannot be granted now.
	ErrLeaseHeld = fmt.Errorf("held by another: %w", ErrConflict)
	// ErrClaimEnded says that the claim has ended. The process may make a new claim.
	ErrClaimEnded = errors.New("the claim has ended")
	// ErrFenced says that the command's fencing token is not that of the lease's grant.
	ErrFenced = fmt.Errorf("fenced off: %w", ErrConflict)
)

// reject returns an error that wraps reason and says what is wrong.
func reject(reason error, format string, args ...any) error {
	return fmt.Errorf("%w: %w", reason, fmt.Errorf(format, args...))
}

func invalid(format string, args ...any) error { return reject(ErrInvalid, format, args...) }

func notFound(format string, args ...any) error { return reject(ErrNotFound, format, args...) }

func conflict(format string, args ...any) error { return reject(ErrConflict, format, args...) }

func limitReached(format string, args ...any) error { return reject(ErrLimitReached, format, args...) }
