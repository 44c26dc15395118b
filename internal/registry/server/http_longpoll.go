package server

import (
	"context"
	"net/http"
	"time"

	"barleywick/internal/registry"
)

// maxLongPoll is how long a call may wait for a change: less than callTimeout.
const maxLongPoll = 5 * time.Second

// longPoll serves calls that may wait for a change. Their number is limited together
// with that of the watches.
func (r *Replica) longPoll(handler apiHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if !r.acquireWatch() {
			r.writeError(w, req, errBusy)
			return
		}
		defer r.releaseWatch()
		if err := handler(w, req); err != nil {
			r.writeError(w, req, err)
		}
	}
}

// awaitChange waits until a version of the leases or of the policy is later than the
// query's after, for its wait_ms at most. Then it does what prepareRead does.
func (r *Replica) awaitChange(req *http.Request, version func(s *registry.State) uint64) (freshness string, err error) {
	after, err := queryUint(req, "after")
	if err != nil {
		return "", err
	}
	wait, err := queryUint(req, "wait_ms")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(req.Context(), min(maxLongPoll, time.Duration(wait)*time.Millisecond))
	defer cancel()
	defer context.AfterFunc(r.longPollCtx, cancel)()
	for ctx.Err() == nil {
		var now uint64
		var changed <-chan struct{}
		r.stateMachine.view(func(s *registry.State) { now, changed = version(s), r.stateMachine.leasesOrPolicyChanged })
		if now > after {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return r.prepareRead(req.URL.Query())
}
