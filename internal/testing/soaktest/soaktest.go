// Package soaktest runs a fleet of real sidecar processes on loopback under random faults that
// overlap in time, and checks the rules of the protocol on every request. Everything that is
// random follows from one seed: what clients do, what booking servers do, and the schedule of
// faults. Threads of the operating system are not, so two runs of a seed are alike and not equal.
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
	Clients  int           // beside each sidecar
	Servers  int           // booking servers
	Duration time.Duration // how long faults are injected
	// Command makes the command of a sidecar that reads the configuration file.
	Command func(config string) *exec.Cmd
	// OnEvent is called with each line of the timeline; it may be nil.
	OnEvent func(line string)
}

const (
	longestDeadline       = 1900 * time.Millisecond // of all classes of the site
	killDelay             = longestDeadline + 700*time.Millisecond
	readyTimeout          = 20 * time.Second
	maxSidecars           = 320
	maxClients            = 16
	maxServers            = 64
	maxDuration           = time.Hour
	maxReportedViolations = 200 // bounds of the report
	maxTimeline           = 5000
)

// Check returns an error that names the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.Sidecars < 1 || o.Sidecars > maxSidecars:
		return fmt.Errorf("sidecars is %d, 1 to %d are possible", o.Sidecars, maxSidecars)
	case o.Clients < 1 || o.Clients > maxClients:
		return fmt.Errorf("clients is %d, 1 to %d are possible", o.Clients, maxClients)
	case o.Servers < 2 || o.Servers > maxServers:
		return fmt.Errorf("servers is %d, 2 to %d are possible", o.Servers, maxServers)
	case o.Duration < time.Second || o.Duration > maxDuration:
		return fmt.Errorf("for is %v, 1 s to %v are possible", o.Duration, maxDuration)
	}
	return nil
}

// Report is the result of a run.
type Report struct {
	Seed           uint64         `json:"Seed"`
	Duration       time.Duration  `json:"Took"`
	Counts         map[string]int `json:"Seen"`   // how often each event was observed
	Violations     []Violation    `json:"Broken"` // the first ones
	ViolationCount int            `json:"Cases"`  // all of them
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

// fleet is a run under way.
type fleet struct {
	Options
	dir          string
	startedAt    time.Time
	ledger       *ledger
	discovery    *discovery
	servers      []*server
	sidecars     []*sidecar
	clientTasks  sync.WaitGroup // clients
	activeFaults sync.WaitGroup // active faults

	mu       sync.Mutex
	timeline []string
}

// Run runs a soak test until its faults are over and every request has ended.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
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

// start starts servers, discovery and sidecars, and waits until all are ready.
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

// sendAndInject runs clients while faults are injected, and returns when the last request has ended.
func (f *fleet) runClientsAndFaults(ctx context.Context) {
	asking, stop := context.WithCancel(ctx)
	defer stop()
	for i, s := range f.sidecars {
		for j := range f.Clients {
			c := &client{sidecar: s, ledger: f.ledger, rng: f.newRand("client", i*maxClients+j), name: fmt.Sprintf("%s-%d", s.name, j)}
			f.clientTasks.Go(func() { c.run(asking) })
		}
	}
	if f.hasIdleClients() {
		f.ledger.increment("runs with a crowd")
		for i, s := range f.sidecars {
			if i%idleClientsSidecarInterval == 0 {
				s.descriptorsExhausted = true
				f.clientTasks.Go(func() { f.runIdleClients(asking, s) })
			}
		}
	}
	f.injectFaults(asking)
	f.activeFaults.Wait()
	stop()
	f.clientTasks.Wait()
	f.stopAll()
}

// endAll ends every sidecar by SIGTERM; one that does not end by itself violates an invariant.
func (f *fleet) stopAll() {
	var ending sync.WaitGroup
	for _, s := range f.sidecars {
		ending.Go(func() {
			if !s.process.Running() {
				f.ledger.addViolation(InvariantProcess, "%s has ended by itself before the end", s.name)
				return
			}
			if err := s.process.Terminate(killDelay); err != nil {
				f.ledger.addViolation(InvariantProcess, "%s: %v", s.name, err)
				return
			}
			f.ledger.increment("processes that ended in order")
		})
	}
	ending.Wait()
}

// random returns an independent source of randomness for each part of the run.
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
	seen, broken, cases := f.ledger.result()
	return &Report{Seed: f.Seed, Duration: time.Since(f.startedAt), Counts: seen, Violations: broken, ViolationCount: cases, Timeline: f.timeline, LongestStall: stall}
}

// close ends everything that is still running.
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

// newSidecar prepares a sidecar process.
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
