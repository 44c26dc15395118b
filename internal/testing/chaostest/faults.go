package chaostest

import (
	"barleywick/internal/testing/faultinjection"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// FaultSchedule draws the faults of a run.
func (o Options) FaultSchedule() faultinjection.Schedule {
	if len(o.Schedule) > 0 {
		return o.Schedule
	}
	const every = 1500 * time.Millisecond
	quorum := numberedNames("r", 3)
	all := append(append(quorum, numberedNames("k", o.Controllers)...), numberedNames("n", o.Sidecars)...)
	p := faultinjection.Plan{
		Targets: all, Kinds: []faultinjection.FaultKind{faultinjection.Partition, faultinjection.BlockInbound, faultinjection.BlockOutbound, faultinjection.Delay, faultinjection.ResetConnections, faultinjection.HalfOpen, faultinjection.RefuseConnections, faultinjection.DropResponses, faultinjection.Pause, faultinjection.Crash},
		Count: max(1, int(o.Duration/every)), MeanInterval: every, MinDuration: 300 * time.Millisecond, MaxDuration: 6 * time.Second, MaxConcurrent: 3, QuorumGroup: quorum, MaxQuorumFaults: 2,
	}
	return p.Draw(o.Seed)
}

// injectFaults plays the faults, and notes when each process was away.
func (r *run) injectFaults(ctx context.Context, plan faultinjection.Schedule) error {
	began := time.Now()
	var all sync.WaitGroup
	errs := make([]error, len(plan))
	for i, f := range plan {
		all.Go(func() {
			if !sleep(ctx, f.Start-time.Since(began)) {
				return
			}
			end, err := r.Inject(f)
			if err != nil {
				errs[i] = err
				return
			}
			r.recordEvent("fault", "%s %s for %v", f.Kind, f.Target, f.Duration)
			r.setUnavailable(f, true)
			sleep(ctx, f.Duration)
			if err := end(); err != nil {
				errs[i] = fmt.Errorf("end of %v: %w", f, err)
			}
			r.setUnavailable(f, false)
			r.recordEvent("fault", "%s %s is over", f.Kind, f.Target)
			r.count("faults", 1)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// setUnavailable notes that a sidecar's clients cannot be answered, or can again: who is stopped
// or killed keeps no promise towards them. A client goes and comes with its sidecar.
func (r *run) setUnavailable(f faultinjection.Fault, now bool) {
	if f.Kind != faultinjection.Pause && f.Kind != faultinjection.Crash {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now {
		r.unavailable[f.Target] = time.Time{}
	} else {
		r.unavailable[f.Target] = time.Now()
	}
}

// excused says whether a try that began at a time met a sidecar that was stopped or killed.
func (r *run) excused(name string, began time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	back, was := r.unavailable[name]
	return was && (back.IsZero() || began.Before(back.Add(recoveryGrace)))
}

// recoveryGrace is how long a process that was stopped or started again needs for what it
// had in its hands, and until it serves.
const recoveryGrace = 3 * time.Second
