// Package soaktest runs a fleet of real sidecar processes on loopback under random faults that may
// overlap, and checks the protocol's invariants on every request. The behaviour of clients and booking
// servers and the schedule of faults are drawn from one seed. The scheduling of the operating system is
// not, so two runs with the same seed are similar but not identical.
package soaktest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loopback"
	"barleywick/internal/testing/wait"
)

// Options configure a run.
type Options struct {
	Seed     uint64
	Sidecars int           // processes
	Clients  int           // per sidecar
	Servers  int           // booking servers
	Duration time.Duration // how long faults are injected
	// Misuse makes clients misuse some sidecars in one of misuseRunInterval seeds.
	Misuse bool
	// CheckMemory makes a process that passes the memory limit of its configuration a violation. The command must
	// apply the limits of the configuration to its process.
	CheckMemory bool
	// Command returns the command that runs a sidecar with a configuration file.
	Command func(config string) *exec.Cmd
	// OnEvent receives each line of the timeline; it may be nil.
	OnEvent func(line string)
}

const (
	longestDeadline       = 1900 * time.Millisecond // hard limit of all classes
	killDelay             = longestDeadline + 700*time.Millisecond
	readyTimeout          = 20 * time.Second
	maxSidecars           = 320
	maxClients            = 16
	maxServers            = 64
	maxDuration           = time.Hour
	maxReportedViolations = 200 // bounds the report
	maxTimeline           = 5000
)

// Check returns an error that names the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.Sidecars < 1 || o.Sidecars > maxSidecars:
		return fmt.Errorf("option sidecars is %d, want 1 to %d", o.Sidecars, maxSidecars)
	case o.Clients < 1 || o.Clients > maxClients:
		return fmt.Errorf("option clients is %d, want 1 to %d", o.Clients, maxClients)
	case o.Servers < 2 || o.Servers > maxServers:
		return fmt.Errorf("option servers is %d, want 2 to %d", o.Servers, maxServers)
	case o.Duration < time.Second || o.Duration > maxDuration:
		return fmt.Errorf("option for is %v, want 1s to %v", o.Duration, maxDuration)
	}
	return nil
}

// Report is the result of a run.
type Report struct {
	Seed           uint64         `json:"Seed"`
	Duration       time.Duration  `json:"Took"`
	Counts         map[string]int `json:"Seen"`   // how often each event was observed
	Violations     []Violation    `json:"Broken"` // the first maxReportedViolations of them
	ViolationCount int            `json:"Cases"`  // number of all violations
	Timeline       []string       `json:"Timeline"`
	// LongestStall is the longest time for which this process was not scheduled.
	LongestStall time.Duration `json:"Stall"`
}

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant `json:"Invariant"`
	Detail    string    `json:"Detail"`
}

func (c Violation) String() string { return fmt.Sprintf("%s: %s", c.Invariant, c.Detail) }

// fleet is a run in progress.
type fleet struct {
	Options
	dir          string
	startedAt    time.Time
	ledger       *ledger
	discovery    *discovery
	servers      []*server
	sidecars     []*sidecar
	clientTasks  sync.WaitGroup
	activeFaults sync.WaitGroup

	mu       sync.Mutex
	timeline []string
}

// Run runs a soak test until all faults and requests have ended.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, fmt.Errorf("create a directory: %w", err)
	}
	defer os.RemoveAll(folder)
	f := &fleet{Options: o, dir: folder, startedAt: time.Now(), ledger: newLedger()}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	f.ledger.stalls = wait.WatchStalls()
	f.runClientsAndFaults(ctx)
	f.ledger.stalls.Stop()
	f.ledger.check(f.sidecarLogs())
	return f.report(f.ledger.stalls.Longest()), ctx.Err()
}

// start starts servers, discovery and sidecars, and waits until all sidecars are ready.
func (f *fleet) start(ctx context.Context) error {
	for i := range f.Servers {
		s, err := startServer(fmt.Sprint("s-", i), f.ledger, f.newRand("server", i))
		if err != nil {
			return err
		}
		f.servers = append(f.servers, s)
	}
	var err error
	if f.discovery, err = startDiscovery(f.servers); err != nil {
		return err
	}
	for i := range f.Sidecars {
		s, err := f.newSidecar(i)
		if err != nil {
			return err
		}
		f.sidecars = append(f.sidecars, s)
		if err := s.start(); err != nil {
			return err
		}
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, s := range f.sidecars {
		if err := s.awaitReady(ready); err != nil {
			return errors.Join(err, fmt.Errorf("log of %s: %s", s.name, s.process.Output()))
		}
	}
	return nil
}

// runClientsAndFaults runs clients while faults are injected. When both have ended it stops the sidecars.
func (f *fleet) runClientsAndFaults(ctx context.Context) {
	clientsCtx, stop := context.WithCancel(ctx)
	defer stop()
	for i, s := range f.sidecars {
		for j := range f.Clients {
			c := &client{sidecar: s, ledger: f.ledger, rng: f.newRand("client", i*maxClients+j), name: fmt.Sprintf("%s-%d", s.name, j)}
			f.clientTasks.Go(func() { c.run(clientsCtx) })
		}
	}
	if f.hasIdleClients() {
		f.ledger.increment("runs with a crowd")
		for i, s := range f.sidecars {
			if i%idleClientsSidecarInterval == 0 {
				s.descriptorsExhausted = true
				f.clientTasks.Go(func() { f.runIdleClients(clientsCtx, s) })
			}
		}
	}
	if f.hasMisuse() {
		f.ledger.increment("runs with misuse")
		for i, s := range f.sidecars {
			if i%misuseSidecarInterval == 1%len(f.sidecars) {
				s.descriptorsExhausted = true
				f.clientTasks.Go(func() { f.runMisuse(clientsCtx, s, f.newRand("misuse", i)) })
			}
		}
	}
	f.injectFaults(clientsCtx)
	f.activeFaults.Wait()
	stop()
	f.clientTasks.Wait()
	f.stopAll()
}

// stopAll stops every sidecar by SIGTERM. One that ends before, or not in order, violates an invariant.
func (f *fleet) stopAll() {
	var stops sync.WaitGroup
	for _, s := range f.sidecars {
		stops.Go(func() {
			if !s.process.Running() {
				f.ledger.addViolation(InvariantProcess, "%s had ended before SIGTERM at the end of the run", s.name)
				return
			}
			f.checkMemory(s)
			if err := s.process.Terminate(killDelay); err != nil {
				f.ledger.addViolation(InvariantProcess, "%s: %v", s.name, err)
				return
			}
			f.ledger.increment("processes that ended in order")
		})
	}
	stops.Wait()
}

// checkMemory checks the largest memory that a sidecar's process has had.
func (f *fleet) checkMemory(s *sidecar) {
	if !f.CheckMemory {
		return
	}
	peak, err := s.process.PeakMemory()
	if err != nil {
		return // the process has just ended
	}
	f.ledger.recordPeak(peak)
	if peak > memoryLimitMB<<20 {
		f.ledger.addViolation(InvariantMemory, "%s had %d MB, its limit is %d MB", s.name, peak>>20, memoryLimitMB)
	}
}

// newRand returns a random number generator with a stream of its own for a part of the run.
func (f *fleet) newRand(part string, index int) *rand.Rand {
	stream := uint64(index)
	for _, b := range []byte(part) {
		stream = stream*257 + uint64(b)<<16
	}
	return rand.New(rand.NewPCG(f.Seed, stream))
}

// logEvent adds a line to the timeline.
func (f *fleet) logEvent(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.timeline) < maxTimeline {
		f.timeline = append(f.timeline, line)
	}
	if f.OnEvent != nil {
		f.OnEvent(line)
	}
}

func (f *fleet) sidecarLogs() map[string]string {
	logs := make(map[string]string, len(f.sidecars))
	for _, s := range f.sidecars {
		logs[s.name] = s.process.Output()
	}
	return logs
}

func (f *fleet) report(stall time.Duration) *Report {
	counts, violations, violationCount := f.ledger.result()
	return &Report{Seed: f.Seed, Duration: time.Since(f.startedAt), Counts: counts, Violations: violations, ViolationCount: violationCount, Timeline: f.timeline, LongestStall: stall}
}

// close stops everything that is still running.
func (f *fleet) close() {
	for _, s := range f.sidecars {
		s.process.Kill()
	}
	if f.discovery != nil {
		f.discovery.close()
	}
	for _, s := range f.servers {
		s.close()
	}
}

// newSidecar returns a sidecar whose process has not been started, and writes its configuration.
func (f *fleet) newSidecar(index int) (*sidecar, error) {
	address, err := loopback.FreeAddr()
	if err != nil {
		return nil, err
	}
	s := &sidecar{name: fmt.Sprint("n", index), addr: address}
	s.config = filepath.Join(f.dir, s.name+".json")
	if err := s.writeConfig(f.Seed+uint64(index), f.Sidecars, f.discovery.addresses[0], f.discovery.staleAddr); err != nil {
		return nil, err
	}
	s.process = &faultinjection.Process{Name: s.name, NewCommand: func() *exec.Cmd { return f.Command(s.config) }}
	return s, nil
}
