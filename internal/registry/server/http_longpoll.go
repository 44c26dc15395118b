package server

import (
	"context"
	"net/http"
	"time"

	"barleywick/internal/registry"
)

// maxLongPoll is the maximum time that a call waits for a change. It must be less than callTimeout.
const maxLongPoll = 5 * time.Second

// callOrLongPoll returns a handler for calls that may wait for a change. One that does not is an ordinary call, which a
// follower can make while all long polls are taken.
func (r *Replica) callOrLongPoll(handler apiHandler) http.HandlerFunc {
	call, longPoll := r.limited(handler), r.longPoll(handler)
	return func(w http.ResponseWriter, req *http.Request) {
		if wait, err := queryUint(req, "wait_ms"); err == nil && wait == 0 {
			call(w, req)
			return
		}
		longPoll(w, req)
	}
}

// longPoll returns a handler for calls that may wait for a change. As many may be open as watches,
// and neither takes the places of the other.
func (r *Replica) longPoll(handler apiHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if !r.openLongPolls.acquire(r.config.Load().Limits.Watches) {
			r.writeError(w, req, errBusy)
			return
		}
		defer r.openLongPolls.release()
		if err := handler(w, req); err != nil {
			r.writeError(w, req, err)
		}
	}
}

// awaitChange waits until a version of the leases or of the policy exceeds the query
// parameter after, for at most wait_ms. Then it calls prepareRead and returns its result.
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
		var current uint64
		var changed <-chan struct{}
		r.stateMachine.view(func(s *registry.State) { current, changed = version(s), r.stateMachine.leasesOrPolicyChanged })
		if current > after {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return r.prepareRead(req.URL.Query())
}
