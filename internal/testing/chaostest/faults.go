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

// FaultSchedule returns the given schedule of faults, or one drawn from the seed if none was given.
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

// setUnavailable records that a process was paused or killed, or that it resumed or restarted.
// While it is unavailable its clients may get no response.
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

// recoveryGrace is how long after a pause or a restart a process may take until it serves and has
// completed its requests in flight.
const recoveryGrace = 3 * time.Second

// lossAllowed reports whether a request may be lost: when it was sent, its sidecar was paused or killed, or had
// resumed or restarted less than recoveryGrace before.
func (r *run) lossAllowed(name string, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	availableSince, unavailable := r.unavailable[name]
	return unavailable && (availableSince.IsZero() || sent.Before(availableSince.Add(recoveryGrace)))
}
