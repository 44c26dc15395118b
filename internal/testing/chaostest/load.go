package chaostest

import (
	"barleywick/internal/testing/loadgen"
	"context"
	"fmt"
	"time"
)

// sendRequests is one client of a sidecar.
func (r *run) sendRequests(ctx context.Context, name string, index int) {
	c := r.clients[name]
	for n := 0; ctx.Err() == nil; n++ {
		class, effect := "read", loadgen.Idempotent
		if n%2 == 1 {
			class, effect = "once", loadgen.NonIdempotent
		}
		id := fmt.Sprintf("%s-%d-%d", name, index, n)
		r.mu.Lock()
		if effect == loadgen.NonIdempotent {
			r.nonIdempotent[id] = true
		}
		r.mu.Unlock()
		began := time.Now()
		in, cancel := context.WithTimeout(context.Background(), requestTimeout+time.Second) // it is beside the sidecar: what is late is the sidecar's
		a := c.Do(in, loadgen.Request{ID: id, Class: class, Idempotency: effect, Tenant: "t", Timeout: requestTimeout}, nil)
		cancel()
		r.sent.Add(1)
		switch {
		case a.Outcome == loadgen.Served && string(a.Body) != "done "+id:
			r.violated("%s was answered with %.60q", id, a.Body)
		case a.Outcome == loadgen.Served:
			r.served.Add(1)
		case a.Outcome == loadgen.Refused:
			r.refused.Add(1)
		case a.Outcome == loadgen.Failed:
			r.failed.Add(1)
		case r.excused(name, began):
			r.count("tries at a sidecar that was killed or stopped", 1)
		default:
			r.lost.Add(1)
			r.violated("%s has no answer after %v, and %s was neither killed nor stopped: %v", id, time.Since(began).Round(time.Millisecond), name, a.Err)
		}
		wait := 40 * time.Millisecond
		if a.Outcome != loadgen.Served {
			wait = max(200*time.Millisecond, a.RetryAfter)
		}
		sleep(ctx, wait)
	}
}

// sleep waits, and says whether ctx has let it.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
