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
)

// Options say what is run.
type Options struct {
	Seed     uint64
	Sidecars int           // processes
	Clients  int           // beside each sidecar
	Servers  int           // booking servers
	For      time.Duration // how long faults begin
	// Command makes the command of a sidecar that reads the configuration file.
	Command func(config string) *exec.Cmd
	// Tell takes each line of the timeline as it happens; nil: nobody does.
	Tell func(line string)
}

const (
	longestDeadline  = 1900 * time.Millisecond // of all classes of the site
	killAfter        = longestDeadline + 700*time.Millisecond
	readyWithin      = 20 * time.Second
	mostSidecars     = 320
	mostClients      = 16
	mostServers      = 64
	mostLength       = time.Hour
	maxReportedCases = 200 // of broken invariants, and of lines of the timeline
	maxTimeline      = 5000
)

// Check says what is wrong with the options.
func (o Options) Check() error {
	switch {
	case o.Sidecars < 1 || o.Sidecars > mostSidecars:
		return fmt.Errorf("sidecars is %d, 1 to %d are possible", o.Sidecars, mostSidecars)
	case o.Clients < 1 || o.Clients > mostClients:
		return fmt.Errorf("clients is %d, 1 to %d are possible", o.Clients, mostClients)
	case o.Servers < 2 || o.Servers > mostServers:
		return fmt.Errorf("servers is %d, 2 to %d are possible", o.Servers, mostServers)
	case o.For < time.Second || o.For > mostLength:
		return fmt.Errorf("for is %v, 1 s to %v are possible", o.For, mostLength)
	}
	return nil
}

// Report is what a run saw.
type Report struct {
	Seed     uint64         `json:"Seed"`
	Took     time.Duration  `json:"Took"`
	Seen     map[string]int `json:"Seen"`   // how often each thing was seen
	Broken   []Case         `json:"Broken"` // the first of them
	Cases    int            `json:"Cases"`  // all of them
	Timeline []string       `json:"Timeline"`
	// Stall is the longest time for which this process itself was not scheduled.
	Stall time.Duration `json:"Stall"`
}

// Case is one broken invariant.
type Case struct {
	Invariant Invariant `json:"Invariant"`
	Detail    string    `json:"Detail"`
}

func (c Case) String() string { return fmt.Sprintf("%s: %s", c.Invariant, c.Detail) }

// fleet is one run.
type fleet struct {
	Options
	folder    string
	began     time.Time
	ledger    *ledger
	discovery *discovery
	servers   []*server
	sidecars  []*sidecar
	tasks     sync.WaitGroup // clients
	faults    sync.WaitGroup // faults under way

	mu       sync.Mutex
	timeline []string
}

// Run runs a soak until its faults are over and every request has had its time.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	defer os.RemoveAll(folder)
	f := &fleet{Options: o, folder: folder, began: time.Now(), ledger: newLedger()}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	stalls := watchStalls(ctx)
	f.play(ctx)
	f.ledger.judge(f.sidecarLogs())
	return f.report(stalls()), ctx.Err()
}

// start starts servers, discovery and sidecars, and waits until all are ready.
func (f *fleet) start(ctx context.Context) error {
	for i := range f.Servers {
		s, err := startServer(fmt.Sprint("s-", i), f.ledger, f.random("server", i))
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
		if err := s.process.Start(); err != nil {
			return err
		}
	}
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, s := range f.sidecars {
		if err := s.awaitReady(ready); err != nil {
			return errors.Join(err, fmt.Errorf("log of %s: %s", s.name, s.process.Output()))
		}
	}
	return nil
}

// play lets clients ask while faults come, and ends when the last request has ended.
func (f *fleet) play(ctx context.Context) {
	asking, stop := context.WithCancel(ctx)
	defer stop()
	for i, s := range f.sidecars {
		for j := range f.Clients {
			c := &client{sidecar: s, ledger: f.ledger, rng: f.random("client", i*mostClients+j), name: fmt.Sprintf("%s-%d", s.name, j)}
			f.tasks.Go(func() { c.run(asking) })
		}
	}
	f.playFaults(asking)
	f.faults.Wait()
	stop()
	f.tasks.Wait()
	f.endAll()
}

// endAll ends every sidecar in order; one that does not end by itself is a broken invariant.
func (f *fleet) endAll() {
	var ending sync.WaitGroup
	for _, s := range f.sidecars {
		ending.Go(func() {
			if !s.process.Running() {
				f.ledger.broken(InvariantProcess, "%s has ended by itself before the end", s.name)
				return
			}
			if err := s.process.Terminate(killAfter); err != nil {
				f.ledger.broken(InvariantProcess, "%s: %v", s.name, err)
				return
			}
			f.ledger.saw("processes that ended in order")
		})
	}
	ending.Wait()
}

// random is a source of randomness of its own for each part of the run.
func (f *fleet) random(part string, index int) *rand.Rand {
	stream := uint64(index)
	for _, b := range []byte(part) {
		stream = stream*257 + uint64(b)<<16
	}
	return rand.New(rand.NewPCG(f.Seed, stream))
}

// tell adds a line to the timeline.
func (f *fleet) tell(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.timeline) < maxTimeline {
		f.timeline = append(f.timeline, line)
	}
	if f.Tell != nil {
		f.Tell(line)
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
	return &Report{Seed: f.Seed, Took: time.Since(f.began), Seen: seen, Broken: broken, Cases: cases, Timeline: f.timeline, Stall: stall}
}

// close ends whatever is left.
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

// watchStalls measures how late this process is woken; the function returns the longest.
func watchStalls(ctx context.Context) func() time.Duration {
	const every = 5 * time.Millisecond
	ctx, stop := context.WithCancel(ctx)
	longest := make(chan time.Duration, 1)
	go func() {
		var worst time.Duration
		for ctx.Err() == nil {
			begun := time.Now()
			time.Sleep(every)
			worst = max(worst, time.Since(begun)-every)
		}
		longest <- worst
	}()
	return func() time.Duration {
		stop()
		return <-longest
	}
}

// newSidecar prepares a sidecar process.
func (f *fleet) newSidecar(index int) (*sidecar, error) {
	s := &sidecar{name: fmt.Sprint("n", index), addr: loopbackAddress(index)}
	s.config = filepath.Join(f.folder, s.name+".json")
	if err := s.writeConfig(f.Seed+uint64(index), f.Sidecars, f.discovery.addresses[0]); err != nil {
		return nil, err
	}
	s.process = &faultinjection.Process{Name: s.name, NewCommand: func() *exec.Cmd { return f.Command(s.config) }}
	return s, nil
}
