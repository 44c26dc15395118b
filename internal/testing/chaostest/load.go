package chaostest

import (
	"context"
	"fmt"
	"time"

	"barleywick/internal/testing/loadgen"
	"barleywick/internal/testing/wait"
)

const (
	// responseGrace is how long past a request's timeout its response may still arrive.
	responseGrace = time.Second
	// pauseAfterServed and minPauseAfterRefused are the pauses between two requests of a client.
	pauseAfterServed     = 40 * time.Millisecond
	minPauseAfterRefused = 200 * time.Millisecond
)

// sendRequests sends one request after the other to a sidecar and checks the responses. Every
// second request is non-idempotent.
func (r *run) sendRequests(ctx context.Context, name string, client int) {
	for n := 0; ctx.Err() == nil; n++ {
		request := loadgen.Request{ID: fmt.Sprintf("%s-%d-%d", name, client, n), Class: "read", Idempotency: loadgen.Idempotent, Tenant: "t", Timeout: requestTimeout}
		if n%2 == 1 {
			request.Class, request.Idempotency = "once", loadgen.NonIdempotent
			r.mu.Lock()
			r.nonIdempotentIDs[request.ID] = true
			r.mu.Unlock()
		}
		wait.Sleep(ctx, r.sendRequest(name, request))
	}
}

// sendRequest sends one request and checks its response. It returns the pause before the next request.
func (r *run) sendRequest(name string, request loadgen.Request) time.Duration {
	sent := time.Now()
	// Not bound to the run's context: a request in flight must get its response also when the run ends.
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+responseGrace)
	response := r.clients[name].Do(ctx, request, nil)
	cancel()
	r.sent.Add(1)
	switch {
	case response.Outcome == loadgen.Served && string(response.Body) != responseBody(request.ID):
		r.violated("%s: response has the wrong body %.60q", request.ID, response.Body)
	case response.Outcome == loadgen.Served:
		r.served.Add(1)
	case response.Outcome == loadgen.Refused:
		r.refused.Add(1)
	case response.Outcome == loadgen.Failed:
		r.failed.Add(1)
	case r.lossAllowed(name, sent):
		r.count("tries at a sidecar that was killed or stopped", 1)
	default:
		r.lost.Add(1)
		r.violated("%s: no response after %v, although %s was neither killed nor paused: %v", request.ID, time.Since(sent).Round(time.Millisecond), name, response.Err)
	}
	if response.Outcome != loadgen.Served {
		return max(minPauseAfterRefused, response.RetryAfter)
	}
	return pauseAfterServed
}
