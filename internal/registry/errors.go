package registry

import (
	"errors"
	"fmt"
)

// Why a command was not carried out. The state is as it was.
var (
	ErrConflict     = errors.New("version conflict")
	ErrHostTaken    = errors.New("registered by another session that is alive")
	ErrNotFound     = errors.New("no such entry")
	ErrLimitReached = errors.New("full")
	ErrInvalid      = errors.New("bad command")
)

func failed(err error) Result { return Result{Err: err} }

// Why a command on leases was not carried out, beside the others.
var (
	// ErrLeaseHeld says that somebody else holds the lease.
	ErrLeaseHeld = fmt.Errorf("held by another: %w", ErrConflict)
	// ErrClaimEnded says that the claim has ended. Another one may begin.
	ErrClaimEnded = errors.New("the claim has ended")
	// ErrFenced says that the token is not that of the lease's grant.
	ErrFenced = fmt.Errorf("fenced off: %w", ErrConflict)
)
