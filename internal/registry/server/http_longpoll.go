package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"barleywick/internal/registry"
)

// maxLongPoll is how long a call for the leases may wait for a change: under the time
// that a call has.
const maxLongPoll = 5 * time.Second

// longPoll serves a call that may wait for a change. What waits is bounded as watches are.
func (r *Replica) longPoll(call func(w http.ResponseWriter, q *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if r.openWatches.Add(1) > int64(r.config.Load().Limits.Watches) {
			r.openWatches.Add(-1)
			r.writeError(w, q, errBusy)
			return
		}
		defer r.openWatches.Add(-1)
		if err := call(w, q); err != nil {
			r.writeError(w, q, err)
		}
	}
}

// queryUint reads a queryUint of a call's query; 0 where it is left out.
func queryUint(q *http.Request, name string) (uint64, error) {
	text := q.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 53)
	if err != nil {
		return 0, badRequest("%s is %.32q, it must be a whole number", name, text)
	}
	return n, nil
}

// awaitChange waits until a version is later than the call's after=, for its wait_ms= at most,
// and says how fresh what is read then is.
func (r *Replica) awaitChange(q *http.Request, version func(s *registry.State) uint64) (read string, err error) {
	after, err := queryUint(q, "after")
	if err != nil {
		return "", err
	}
	wait, err := queryUint(q, "wait_ms")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(q.Context(), min(maxLongPoll, time.Duration(wait)*time.Millisecond))
	defer cancel()
	for ctx.Err() == nil {
		var now uint64
		var news <-chan struct{}
		r.stateMachine.view(func(s *registry.State) { now, news = version(s), r.stateMachine.leasesOrPolicyChanged })
		if now > after {
			break
		}
		select {
		case <-news:
		case <-ctx.Done():
		}
	}
	return r.fresh(q.URL.Query())
}
