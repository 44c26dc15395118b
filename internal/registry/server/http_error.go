package server

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// statusError is an error with the status it is answered with.
type statusError struct {
	status int
	err    error
}

func (r statusError) Error() string { return r.err.Error() }

func (r statusError) Unwrap() error { return r.err }

func badRequest(format string, args ...any) error {
	return statusError{http.StatusBadRequest, fmt.Errorf(format, args...)}
}

var (
	errNotReady = errors.New("this replica has not caught up with its group yet")
)

// writeError answers an error in one line. What a caller may try again is 503; a write
// that is the leader's to take goes there.
func (r *Replica) writeError(w http.ResponseWriter, q *http.Request, err error) {
	status := http.StatusServiceUnavailable
	var named statusError
	switch {
	case errors.As(err, &named):
		status = named.status
	case errors.Is(err, registry.ErrInvalid):
		status = http.StatusBadRequest
	case errors.Is(err, registry.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, registry.ErrFenced):
		status = http.StatusPreconditionFailed
	case errors.Is(err, registry.ErrLeaseHeld):
		status = http.StatusLocked
	case errors.Is(err, registry.ErrClaimEnded):
		status = http.StatusGone
	case errors.Is(err, registry.ErrConflict), errors.Is(err, registry.ErrHostTaken):
		status = http.StatusConflict
	case errors.Is(err, registry.ErrLimitReached):
		status = http.StatusInsufficientStorage
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		if leader, ok := r.leader(); ok && leader.ID != r.self.ID {
			w.Header().Set("Location", "http://"+leader.HTTP+q.URL.RequestURI())
			status, err = http.StatusTemporaryRedirect, fmt.Errorf("replica %s leads", leader.ID)
		} else if failed := r.storage.log.lastWriteError.Load(); failed != nil {
			err = fmt.Errorf("this replica cannot write its log: %w", *failed)
		} else {
			err = errNoLeader
		}
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrEnqueueTimeout):
		err = fmt.Errorf("the leader changed: the write may have been done or not, and can be sent again: %w", err)
	}
	if status == http.StatusServiceUnavailable {
		r.refusedCalls.Add(1)
		w.Header().Set("Retry-After", retryAfter())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	line := strings.Join(strings.Fields(err.Error()), " ")
	writeJSON(w, registry.WriteResponse{Seq: r.stateMachine.seq(), Error: line})
}

// retryAfter is about comeBack, in seconds; it differs from call to call.
func retryAfter() string {
	return strconv.FormatFloat(retryAfterBase.Seconds()*(0.5+rand.Float64()), 'f', 2, 64)
}
