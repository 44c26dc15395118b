package chaostest

import (
	"context"
	"fmt"
	"time"

	"barleywick/internal/testing/loadgen"
	"barleywick/internal/testing/wait"
)

const (
	// answerGrace is how much later than its time-out a request may be answered.
	answerGrace = time.Second
	// pauseAfterServed and minPauseAfterRefused lie between two requests of a client.
	pauseAfterServed     = 40 * time.Millisecond
	minPauseAfterRefused = 200 * time.Millisecond
)

// sendRequests sends one request after the other to a sidecar, and checks the answers. Every
// second one must not run twice.
func (r *run) sendRequests(ctx context.Context, name string, client int) {
	for n := 0; ctx.Err() == nil; n++ {
		request := loadgen.Request{ID: fmt.Sprintf("%s-%d-%d", name, client, n), Class: "read", Idempotency: loadgen.Idempotent, Tenant: "t", Timeout: requestTimeout}
		if n%2 == 1 {
			request.Class, request.Idempotency = "once", loadgen.NonIdempotent
			r.mu.Lock()
			r.nonIdempotent[request.ID] = true
			r.mu.Unlock()
		}
		wait.Sleep(ctx, r.sendRequest(name, request))
	}
}

// sendRequest sends one request and checks its answer. It returns the pause before the next one.
func (r *run) sendRequest(name string, request loadgen.Request) time.Duration {
	sent := time.Now()
	// Not bound to the run's context: each request is to be answered, also as the run ends.
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+answerGrace)
	answer := r.clients[name].Do(ctx, request, nil)
	cancel()
	r.sent.Add(1)
	switch {
	case answer.Outcome == loadgen.Served && string(answer.Body) != responseBody(request.ID):
		r.violated("%s was answered with %.60q", request.ID, answer.Body)
	case answer.Outcome == loadgen.Served:
		r.served.Add(1)
	case answer.Outcome == loadgen.Refused:
		r.refused.Add(1)
	case answer.Outcome == loadgen.Failed:
		r.failed.Add(1)
	case r.excused(name, sent):
		r.count("tries at a sidecar that was killed or stopped", 1)
	default:
		r.lost.Add(1)
		r.violated("%s has no answer after %v, and %s was neither killed nor paused: %v", request.ID, time.Since(sent).Round(time.Millisecond), name, answer.Err)
	}
	if answer.Outcome != loadgen.Served {
		return max(minPauseAfterRefused, answer.RetryAfter)
	}
	return pauseAfterServed
}
