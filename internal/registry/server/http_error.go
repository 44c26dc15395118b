package server

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// retryAfterMean is the mean time after which a rejected caller is to retry. The time is
// randomized because many callers are often rejected at once, and would retry at once.
const retryAfterMean = time.Second

// statusError is an error with the HTTP status of its response.
type statusError struct {
	status int
	err    error
}

func (e statusError) Error() string { return e.err.Error() }

func (e statusError) Unwrap() error { return e.err }

func badRequest(format string, args ...any) error {
	return statusError{http.StatusBadRequest, fmt.Errorf(format, args...)}
}

// errorStatus returns the HTTP status of an error; final reports whether a retry would fail likewise.
func errorStatus(err error) (status int, final bool) {
	var named statusError
	if errors.As(err, &named) {
		return named.status, true
	}
	return registry.HTTPStatus(err)
}

// writeError responds with an error in one line. If the call may succeed later or at another
// replica, the response is 503 with Retry-After or a redirect to the leader.
func (r *Replica) writeError(w http.ResponseWriter, req *http.Request, err error) {
	status, final := errorStatus(err)
	if !final {
		status, err = r.retryableError(w, req, err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	line := strings.Join(strings.Fields(err.Error()), " ")
	writeJSON(w, registry.WriteResponse{Seq: r.stateMachine.seq(), Error: line})
}

// retryableError sets the headers of a response that asks the caller to retry, and returns
// its status and the error to report.
func (r *Replica) retryableError(w http.ResponseWriter, req *http.Request, err error) (int, error) {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		if leader, ok := r.leader(); ok && leader.ID != r.self.ID {
			w.Header().Set("Location", "http://"+leader.HTTP+req.URL.RequestURI())
			return http.StatusTemporaryRedirect, fmt.Errorf("replica %s is the leader", leader.ID)
		}
		err = r.noLeaderError()
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrRaftShutdown):
		err = fmt.Errorf("the leader changed: the write may or may not have been applied, and can be retried: %w", err)
	case errors.Is(err, errDiskHangs):
		err = fmt.Errorf("the write may or may not have been applied, and can be retried: %w", err)
	}
	r.counters.refusedCalls.Add(1)
	w.Header().Set("Retry-After", retryAfter())
	return http.StatusServiceUnavailable, err
}

// noLeaderError returns the reason why there is no leader, as far as this replica can determine it.
func (r *Replica) noLeaderError() error {
	if failed := r.storage.log.lastWriteError.Load(); failed != nil {
		return fmt.Errorf("this replica cannot write its log: %w", *failed)
	}
	return errNoLeader
}

// retryAfter returns a random number of seconds with the mean retryAfterMean.
func retryAfter() string {
	return strconv.FormatFloat(retryAfterMean.Seconds()*(0.5+rand.Float64()), 'f', 2, 64)
}
