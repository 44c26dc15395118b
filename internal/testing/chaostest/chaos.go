package chaostest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/registry/client"
)

// run is one under way.
type run struct {
	*fleet
	startedAt  time.Time
	servers    []*server
	registry   *client.Client // the rig's own, which no fault touches
	background sync.WaitGroup
	rng        *rand.Rand // the operators'

	sent, served, refused, failed, lost atomic.Uint64

	mu            sync.Mutex
	report        Report
	nonIdempotent map[string]bool // ids that may not run twice
	unavailable   map[string]time.Time
	calls         []*recordCall
	acknowledged  map[string][]acknowledgedWrite
	next          uint64
}

// Check says in one line what is wrong with the options.
func (o Options) Check() error {
	switch {
	case o.Duration <= 0:
		return errors.New("the time must be above 0")
	case o.Controllers < 2 || o.Controllers > 8 || o.Sidecars < 2 || o.Sidecars > 64 || o.Servers < 4 || o.Servers > 64:
		return errors.New("2 to 8 keepers, 2 to 64 sidecars and 4 to 64 servers share one machine")
	}
	return nil
}

// Run breaks a fleet, and says what became of the promises. When it returns nothing that it
// started is left.
func Run(ctx context.Context, o Options) (rep *Report, err error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "torture-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	f, err := newFleet(o, folder)
	if err != nil {
		return nil, fmt.Errorf("torture: %w", err)
	}
	r := &run{fleet: f, startedAt: time.Now(), rng: rand.New(rand.NewPCG(o.Seed, 77)), nonIdempotent: make(map[string]bool), unavailable: make(map[string]time.Time), acknowledged: make(map[string][]acknowledgedWrite)}
	r.report = Report{Seed: o.Seed, Counts: make(map[string]uint64)}
	life, end := context.WithCancel(ctx)
	defer func() {
		end()
		r.background.Wait()
		for _, s := range r.servers {
			s.close()
		}
		if r.registry != nil {
			r.registry.Close()
		}
		f.close()
	}()
	if r.registry, err = client.New(f.registryAddrs(), o.Seed); err != nil {
		return nil, err
	}
	if err := r.start(ctx); err != nil {
		return nil, fmt.Errorf("torture: the fleet does not start: %w", err)
	}
	r.recordEvent("fleet", "all serve")
	sized := r.processSizes()
	plan := o.FaultSchedule()
	r.report.Schedule = plan.String()
	calm, quiet := context.WithCancel(life)
	defer quiet()
	for _, name := range f.sidecars {
		for i := range 2 {
			r.background.Go(func() { r.sendRequests(life, name, i) })
		}
	}
	r.background.Go(func() { r.watchRegistry(life) })
	var operators sync.WaitGroup
	for _, act := range []func(context.Context){r.proposePolicies, r.drainMachines, r.writeRecords, r.requestYields} {
		operators.Go(func() { act(calm) })
	}
	err = r.injectFaults(life, plan)
	r.recordEvent("fleet", "the last fault is over")
	time.Sleep(2 * time.Second)
	quiet()
	operators.Wait()
	if err != nil || ctx.Err() != nil {
		return &r.report, errors.Join(err, ctx.Err())
	}
	r.checkSettled(ctx)
	r.checkGrowth(sized)
	end()
	r.background.Wait()
	r.checkRequests()
	r.stopAll()
	r.report.Took = time.Since(r.startedAt)
	return &r.report, nil
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
	for _, name := range append(append([]string{}, r.controllers...), r.sidecars...) {
		if err := r.Processes[name].Start(); err != nil {
			return err
		}
	}
	for _, name := range r.sidecars {
		if err := waitUntil(ctx, startTimeout, func() bool { return strings.HasPrefix(r.readHealth(name, "ready"), "serving") }); err != nil {
			text := r.Processes[name].Output()
			return fmt.Errorf("%s is not ready: %w; its log ends with: %s", name, err, text[max(0, len(text)-500):])
		}
	}
	return nil
}

// waitUntil waits for something that no event tells of.
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
