// Package chaostest runs a fleet of real processes under load (registry replicas, controllers
// with all their tasks, sidecars) and injects faults into processes and links for a given
// duration, up to three at once, while operators propose policies, drain machines and request
// yields. Invariants are checked during the run and at its end. The checks share no code with
// the fleet.
package chaostest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/internal/testing/faultinjection"
)

// Program is one of the fleet's programs.
type Program string

// The programs of the fleet.
const (
	Replica    Program = "registry"
	Controller Program = "controller"
	Sidecar    Program = "sidecar-metrics"
)

// Options configure a run.
type Options struct {
	Command     func(p Program, config string) *exec.Cmd // returns the command that runs a program with its configuration file
	Duration    time.Duration                            // of fault injection, without start-up and settling
	Seed        uint64
	Schedule    faultinjection.Schedule // the faults; if empty, they are drawn from the seed
	Controllers int
	Sidecars    int
	Servers     int
	OnEvent     func(line string) // receives each timeline event as a line; may be nil
}

// Bounds of the fleet size. All processes run on one machine.
const (
	minControllers, maxControllers = 2, 8
	minSidecars, maxSidecars       = 2, 64
	minServers, maxServers         = 4, 64
)

// Check returns a one-line error if the options are invalid.
func (o Options) Check() error {
	inRange := func(n, least, most int) bool { return n >= least && n <= most }
	switch {
	case o.Duration <= 0:
		return errors.New("the duration of fault injection must be above 0")
	case !inRange(o.Controllers, minControllers, maxControllers) || !inRange(o.Sidecars, minSidecars, maxSidecars) || !inRange(o.Servers, minServers, maxServers):
		return fmt.Errorf("fleet size: want %d to %d controllers, %d to %d sidecars and %d to %d servers",
			minControllers, maxControllers, minSidecars, maxSidecars, minServers, maxServers)
	}
	return nil
}

const (
	// startTimeout bounds the start of the fleet. settleTimeout bounds the settling after the last
	// fault; it is longer than the timeouts of rollouts and drains.
	startTimeout  = time.Minute
	settleTimeout = 90 * time.Second
	// operatorsContinue is how long operators continue after the last fault.
	operatorsContinue = 2 * time.Second
	pollInterval      = 250 * time.Millisecond
	clientsPerSidecar = 2
	// operatorStream is the random stream of operators. It is separate from that of faults.
	operatorStream = 77
	// startLogTail is how many bytes of a process's log are reported when it fails to start.
	startLogTail = 500
)

// run is a run in progress.
type run struct {
	*fleet
	startedAt  time.Time
	servers    []*server
	registry   *client.Client // its calls bypass the fault injection
	background sync.WaitGroup
	rng        *rand.Rand // for the operators' actions

	sent, served, refused, failed, lost atomic.Uint64

	mu               sync.Mutex
	report           Report
	nonIdempotentIDs map[string]bool      // ids of non-idempotent requests, which must run at most once
	unavailable      map[string]time.Time // sidecars that were paused or killed: when they resumed or restarted; zero: not yet
	calls            []*recordCall
	acknowledged     map[string][]acknowledgedWrite // by key
}

// Run starts a fleet, injects faults into it and checks the invariants. It stops everything
// that it started before it returns.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "chaos-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(o, dir)
	if err != nil {
		return nil, fmt.Errorf("chaos: %w", err)
	}
	r := &run{
		fleet:            f,
		startedAt:        time.Now(),
		rng:              rand.New(rand.NewPCG(o.Seed, operatorStream)),
		report:           Report{Seed: o.Seed, Counts: make(map[string]uint64)},
		nonIdempotentIDs: make(map[string]bool),
		unavailable:      make(map[string]time.Time),
		acknowledged:     make(map[string][]acknowledgedWrite),
	}
	background, stopBackground := context.WithCancel(ctx)
	defer func() {
		stopBackground()
		r.close()
	}()
	if r.registry, err = client.New(f.registryAddrs(), o.Seed); err != nil {
		return nil, err
	}
	if err := r.start(ctx); err != nil {
		return nil, fmt.Errorf("chaos: start the fleet: %w", err)
	}
	r.recordEvent(FleetEvent, "all sidecars serve")
	sizes := r.processSizes()
	r.startLoad(background)
	err = r.runFaults(background, o.FaultSchedule())
	if err != nil || ctx.Err() != nil {
		return &r.report, errors.Join(err, ctx.Err())
	}
	r.checkSettled(ctx)
	r.checkGrowth(sizes)
	stopBackground()
	r.background.Wait()
	r.checkRequests()
	r.stopAll()
	r.report.Took = time.Since(r.startedAt)
	return &r.report, nil
}

// startLoad starts the sidecars' clients and the polling of the registry.
func (r *run) startLoad(ctx context.Context) {
	for _, name := range r.sidecars {
		for i := range clientsPerSidecar {
			r.background.Go(func() { r.sendRequests(ctx, name, i) })
		}
	}
	r.background.Go(func() { r.watchRegistry(ctx) })
}

// runFaults injects the faults of a schedule while operators act. It returns when the last
// fault has ended and the operators have stopped.
func (r *run) runFaults(ctx context.Context, schedule faultinjection.Schedule) error {
	r.report.Schedule = schedule.String()
	operatorsCtx, stopOperators := context.WithCancel(ctx)
	defer stopOperators()
	var operators sync.WaitGroup
	for _, operator := range []func(context.Context){r.proposePolicies, r.drainMachines, r.writeRecords, r.requestYields} {
		operators.Go(func() { operator(operatorsCtx) })
	}
	err := schedule.Run(ctx, r.injectFault)
	r.recordEvent(FleetEvent, "the last fault is over")
	time.Sleep(operatorsContinue)
	stopOperators()
	operators.Wait()
	return err
}

// start starts all processes and waits until every sidecar reports that it is serving.
func (r *run) start(ctx context.Context) error {
	for _, m := range r.replicas {
		if err := r.Processes[m.ID].Start(); err != nil {
			return err
		}
	}
	for i := range r.options.Servers {
		s, err := startServer(i, r.registry)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	for _, name := range slices.Concat(r.controllers, r.sidecars) {
		if err := r.Processes[name].Start(); err != nil {
			return err
		}
	}
	for _, name := range r.sidecars {
		ready := func() bool { return strings.HasPrefix(r.readHealth(name, "ready"), "serving") }
		if err := waitUntil(ctx, startTimeout, ready); err != nil {
			log := r.Processes[name].Output()
			return fmt.Errorf("%s is not ready: %w; its log ends with: %s", name, err, log[max(0, len(log)-startLogTail):])
		}
	}
	return nil
}

// close stops everything that the run has started. The context of the background goroutines
// must have been cancelled before.
func (r *run) close() {
	r.background.Wait()
	for _, s := range r.servers {
		s.close()
	}
	if r.registry != nil {
		r.registry.Close()
	}
	r.fleet.close()
}

// waitUntil polls until a condition holds. It is for conditions that can only be polled.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(timeout); !condition(); {
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(deadline):
			return fmt.Errorf("the condition did not hold within %v", timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
