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

// retryAfterMean is when a refused caller is to try again, on average. Callers are often
// refused together, and should not come back together.
const retryAfterMean = time.Second

// statusError is an error that names the HTTP status of its answer.
type statusError struct {
	status int
	err    error
}

func (e statusError) Error() string { return e.err.Error() }

func (e statusError) Unwrap() error { return e.err }

func badRequest(format string, args ...any) error {
	return statusError{http.StatusBadRequest, fmt.Errorf(format, args...)}
}

// errorStatus returns the status of an error that another try would meet again.
func errorStatus(err error) (status int, final bool) {
	var named statusError
	if errors.As(err, &named) {
		return named.status, true
	}
	return registry.HTTPStatus(err)
}

// writeError answers with an error in one line. What may succeed later or elsewhere is
// answered with 503 and Retry-After, or with a redirect to the leader.
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

// retryableError sets the headers of an answer that tells the caller to try again, and
// returns its status and the error that it reports.
func (r *Replica) retryableError(w http.ResponseWriter, req *http.Request, err error) (int, error) {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		if leader, ok := r.leader(); ok && leader.ID != r.self.ID {
			w.Header().Set("Location", "http://"+leader.HTTP+req.URL.RequestURI())
			return http.StatusTemporaryRedirect, fmt.Errorf("replica %s leads", leader.ID)
		}
		err = r.noLeaderError()
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrRaftShutdown):
		err = fmt.Errorf("the leader changed: the write may have been done or not, and can be sent again: %w", err)
	case errors.Is(err, errDiskHangs):
		err = fmt.Errorf("the write may have been done or not, and can be sent again: %w", err)
	}
	r.counters.refusedCalls.Add(1)
	w.Header().Set("Retry-After", retryAfter())
	return http.StatusServiceUnavailable, err
}

// noLeaderError says why there is no leader, as far as this replica knows.
func (r *Replica) noLeaderError() error {
	if failed := r.storage.log.lastWriteError.Load(); failed != nil {
		return fmt.Errorf("this replica cannot write its log: %w", *failed)
	}
	return errNoLeader
}

// retryAfter returns a number of seconds about retryAfterMean, another for each call.
func retryAfter() string {
	return strconv.FormatFloat(retryAfterMean.Seconds()*(0.5+rand.Float64()), 'f', 2, 64)
}
