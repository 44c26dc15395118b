// Package chaostest runs a whole fleet of real processes under load (replicas of the
// registry, controllers with all their tasks, sidecars) and injects faults for as long as is
// wanted: into processes and links, up to three at once, while operators propose policies,
// drain machines and request yields. The invariants are checked meanwhile and at the end, by
// checks that share no code with the fleet.
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

// Options are what a run needs.
type Options struct {
	Command     func(p Program, config string) *exec.Cmd // makes the command that runs a program on its configuration
	Duration    time.Duration                            // of fault injection; start and settling are not included
	Seed        uint64
	Schedule    faultinjection.Schedule // the faults; none: drawn from the seed
	Controllers int
	Sidecars    int
	Servers     int
	OnEvent     func(line string) // receives each event of the timeline as a line; may be nil
}

// Bounds of a fleet, whose processes all share one machine.
const (
	minControllers, maxControllers = 2, 8
	minSidecars, maxSidecars       = 2, 64
	minServers, maxServers         = 4, 64
)

// Check returns an error of one line if the options are invalid.
func (o Options) Check() error {
	within := func(n, least, most int) bool { return n >= least && n <= most }
	switch {
	case o.Duration <= 0:
		return errors.New("the time must be above 0")
	case !within(o.Controllers, minControllers, maxControllers) || !within(o.Sidecars, minSidecars, maxSidecars) || !within(o.Servers, minServers, maxServers):
		return fmt.Errorf("%d to %d controllers, %d to %d sidecars and %d to %d servers share one machine",
			minControllers, maxControllers, minSidecars, maxSidecars, minServers, maxServers)
	}
	return nil
}

const (
	// startTimeout bounds the fleet's start, settleTimeout its settling after the last fault: a
	// rollout's and a drain's time-outs lie within it.
	startTimeout  = time.Minute
	settleTimeout = 90 * time.Second
	// operatorsContinue is for how long operators go on after the last fault.
	operatorsContinue = 2 * time.Second
	pollInterval      = 250 * time.Millisecond
	clientsASidecar   = 2
	// operatorStream separates the random numbers of operators from those of faults.
	operatorStream = 77
	// startLogTail is how many bytes of a log are reported when its process does not start.
	startLogTail = 500
)

// run is a run in progress.
type run struct {
	*fleet
	startedAt  time.Time
	servers    []*server
	registry   *client.Client // not affected by faults
	background sync.WaitGroup
	rng        *rand.Rand // of the operators

	sent, served, refused, failed, lost atomic.Uint64

	mu            sync.Mutex
	report        Report
	nonIdempotent map[string]bool      // ids of requests that must not run twice
	unavailable   map[string]time.Time // sidecars that were paused or killed: since when they are back, zero if they are not
	calls         []*recordCall
	acknowledged  map[string][]acknowledgedWrite // by key
}

// Run starts a fleet, injects faults into it and checks the invariants. Nothing that it
// started is left when it returns.
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
		fleet:         f,
		startedAt:     time.Now(),
		rng:           rand.New(rand.NewPCG(o.Seed, operatorStream)),
		report:        Report{Seed: o.Seed, Counts: make(map[string]uint64)},
		nonIdempotent: make(map[string]bool),
		unavailable:   make(map[string]time.Time),
		acknowledged:  make(map[string][]acknowledgedWrite),
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
		return nil, fmt.Errorf("chaos: the fleet does not start: %w", err)
	}
	r.recordEvent(FleetEvent, "all serve")
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

// startLoad starts the sidecars' clients and the watch of the registry.
func (r *run) startLoad(ctx context.Context) {
	for _, name := range r.sidecars {
		for i := range clientsASidecar {
			r.background.Go(func() { r.sendRequests(ctx, name, i) })
		}
	}
	r.background.Go(func() { r.watchRegistry(ctx) })
}

// runFaults injects the faults of a schedule while operators work, and returns when the last
// fault is over and the operators have stopped.
func (r *run) runFaults(ctx context.Context, schedule faultinjection.Schedule) error {
	r.report.Schedule = schedule.String()
	working, stopOperators := context.WithCancel(ctx)
	defer stopOperators()
	var operators sync.WaitGroup
	for _, operator := range []func(context.Context){r.proposePolicies, r.drainMachines, r.writeRecords, r.requestYields} {
		operators.Go(func() { operator(working) })
	}
	err := schedule.Run(ctx, r.injectFault)
	r.recordEvent(FleetEvent, "the last fault is over")
	time.Sleep(operatorsContinue)
	stopOperators()
	operators.Wait()
	return err
}

// start starts all processes and waits until each sidecar serves.
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

// close ends everything that the run has started. The context of what runs in the background
// has to have ended.
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

// waitUntil polls until a condition holds that no event announces.
func waitUntil(ctx context.Context, within time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(within); !holds(); {
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(deadline):
			return fmt.Errorf("not within %v", within)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
