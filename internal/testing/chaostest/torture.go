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
	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loadgen"
)

// Event is one of the time line: a fault, an operator's action, or what became of a promise.
type Event struct {
	At   time.Duration `json:"at_ns"`
	Kind string        `json:"kind"` // fault, operator, promise, fleet
	Text string        `json:"text"`
}

// Report is what a run came to.
type Report struct {
	Seed       uint64            `json:"seed"`
	Schedule   string            `json:"schedule"`
	Took       time.Duration     `json:"took_ns"`
	Timeline   []Event           `json:"lines"`
	Violations []string          `json:"broken"`         // promises, each in one line
	Counts     map[string]uint64 `json:"saw"`            // what was judged
	Logs       map[string]string `json:"logs,omitempty"` // the ends of logs of those that broke one
}

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

const (
	// startTimeout and settleIn bound the fleet's start, and its rest after the last fault: a
	// change and a drain have their time-outs within it.
	startTimeout  = time.Minute
	settleTimeout = 90 * time.Second
	pollInterval  = 250 * time.Millisecond
	// maxEvents bounds the time line.
	maxEvents = 100_000
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

// recordEvent adds to the time recordEvent.
func (r *run) recordEvent(kind, format string, args ...any) {
	l := Event{time.Since(r.startedAt).Round(time.Millisecond), kind, fmt.Sprintf(format, args...)}
	r.mu.Lock()
	if len(r.report.Timeline) < maxEvents {
		r.report.Timeline = append(r.report.Timeline, l)
	}
	r.mu.Unlock()
	if r.options.OnEvent != nil {
		r.options.OnEvent(fmt.Sprintf("%9.3f %-8s %s", l.At.Seconds(), l.Kind, l.Text))
	}
}

// violated notes a promise that is violated.
func (r *run) violated(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.report.Violations = append(r.report.Violations, text)
	r.mu.Unlock()
	r.recordEvent("promise", "BROKEN: %s", text)
}

// count counts what was judged.
func (r *run) count(what string, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Counts[what] += n
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
