package chaostest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/wait"
)

const (
	meanFaultInterval = 1500 * time.Millisecond
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 6 * time.Second
	maxFaultsAtOnce   = 3
	maxReplicaFaults  = 2 // at once
)

var faultKinds = []faultinjection.FaultKind{
	faultinjection.Partition,
	faultinjection.BlockInbound,
	faultinjection.BlockOutbound,
	faultinjection.Delay,
	faultinjection.ResetConnections,
	faultinjection.HalfOpen,
	faultinjection.RefuseConnections,
	faultinjection.DropResponses,
	faultinjection.Pause,
	faultinjection.Crash,
}

// FaultSchedule returns the faults of a run: the schedule that was given, or one drawn from the seed.
func (o Options) FaultSchedule() faultinjection.Schedule {
	if len(o.Schedule) > 0 {
		return o.Schedule
	}
	replicas := numberedNames("r", replicaCount)
	p := faultinjection.Plan{
		Targets:         slices.Concat(replicas, numberedNames("k", o.Controllers), numberedNames("n", o.Sidecars)),
		Kinds:           faultKinds,
		Count:           max(1, int(o.Duration/meanFaultInterval)),
		MeanInterval:    meanFaultInterval,
		MinDuration:     minFaultDuration,
		MaxDuration:     maxFaultDuration,
		MaxConcurrent:   maxFaultsAtOnce,
		QuorumGroup:     replicas,
		MaxQuorumFaults: maxReplicaFaults,
	}
	return p.Draw(o.Seed)
}

// injectFault injects a fault and ends it after its duration.
func (r *run) injectFault(ctx context.Context, f faultinjection.Fault) error {
	end, err := r.Inject(f)
	if err != nil {
		return err
	}
	r.recordEvent(FaultEvent, "%s %s for %v", f.Kind, f.Target, f.Duration)
	r.setUnavailable(f, true)
	wait.Sleep(ctx, f.Duration)
	if err = end(); err != nil {
		err = fmt.Errorf("end of %v: %w", f, err)
	}
	r.setUnavailable(f, false)
	r.recordEvent(FaultEvent, "%s %s is over", f.Kind, f.Target)
	r.count("faults", 1)
	return err
}

// setUnavailable records that a process is paused or killed, or is back: while it is
// unavailable it may leave its clients without an answer.
func (r *run) setUnavailable(f faultinjection.Fault, unavailable bool) {
	if f.Kind != faultinjection.Pause && f.Kind != faultinjection.Crash {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if unavailable {
		r.unavailable[f.Target] = time.Time{}
	} else {
		r.unavailable[f.Target] = time.Now()
	}
}

// recoveryGrace is how long a process that was paused or started again needs until it serves
// and has answered what it had in flight.
const recoveryGrace = 3 * time.Second

// excused reports whether a request that was sent at a time met a sidecar that was paused or killed.
func (r *run) excused(name string, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	back, unavailable := r.unavailable[name]
	return unavailable && (back.IsZero() || sent.Before(back.Add(recoveryGrace)))
}
