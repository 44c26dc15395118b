package chaostest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"barleywick/internal/testing/faultinjection"
)

const (
	// stopTimeout bounds how long a process takes to end after SIGTERM.
	stopTimeout = 20 * time.Second
	// dumpTime is how long a process is given to log its goroutines.
	dumpTime = 4 * pollInterval
	// allowedMemoryGrowth is by how much a process's memory may grow over a run, beyond a half:
	// bounded caches and buffers fill up.
	allowedMemoryGrowth     = 24 << 20
	allowedDescriptorGrowth = 64
)

// processSize is the resources that a process uses.
type processSize struct {
	memory      int64 // resident, in bytes
	descriptors int
}

// processSizes returns the resources that each running process uses.
func (r *run) processSizes() map[string]processSize {
	sizes := make(map[string]processSize)
	for name, p := range r.Processes {
		if size, ok := readProcessSize(p.PID()); ok {
			sizes[name] = size
		}
	}
	return sizes
}

// readProcessSize reads a process's resources from /proc.
func readProcessSize(pid int) (size processSize, ok bool) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	text, err := os.ReadFile(filepath.Join(dir, "statm"))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return size, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return size, false
	}
	size.memory = pages * int64(os.Getpagesize())
	descriptors, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return size, false
	}
	size.descriptors = len(descriptors)
	return size, true
}

// checkGrowth compares the processes' resources with those at the start.
func (r *run) checkGrowth(atStart map[string]processSize) {
	var largest int64
	for name, now := range r.processSizes() {
		before, ok := atStart[name]
		if !ok {
			continue
		}
		r.count("sizes compared", 1)
		largest = max(largest, now.memory)
		if now.memory > before.memory*3/2+allowedMemoryGrowth {
			r.violated("%s takes %d KiB of memory, %d at the start", name, now.memory>>10, before.memory>>10)
		}
		if now.descriptors > before.descriptors+allowedDescriptorGrowth {
			r.violated("%s has %d descriptors open, %d at the start", name, now.descriptors, before.descriptors)
		}
	}
	r.recordEvent(InvariantEvent, "no process has grown: the largest takes %d MiB", largest>>20)
}

// stopProcess ends a process with SIGTERM. One that does not end is made to log its goroutines.
// One that ends otherwise than with status 0, as one does whose end is cut off, is an error, too;
// its log is kept.
func (r *run) stopProcess(name string) error {
	p := r.Processes[name]
	_ = p.Signal(syscall.SIGCONT) // it fails if the process has ended, and so does SIGTERM then
	if err := p.Signal(syscall.SIGTERM); err != nil {
		r.keepLogTail(name)
		return fmt.Errorf("%s has ended before: %w", name, err)
	}
	switch err := p.AwaitEnd(stopTimeout); {
	case errors.Is(err, faultinjection.ErrRunning):
		_ = p.Signal(syscall.SIGQUIT) // it fails if the process has just ended
		_ = p.AwaitEnd(dumpTime)      // it may hang
		p.Kill()
		r.keepLogTail(name)
		return fmt.Errorf("%s did not end within %v", name, stopTimeout)
	case err != nil:
		r.keepLogTail(name)
		return fmt.Errorf("%s was told to end and ended with %w", name, err)
	}
	return nil
}

// stopAll ends all processes, the replicas last, and checks that each of them does end.
func (r *run) stopAll() {
	for _, names := range [][]string{r.sidecars, r.controllers, r.replicaIDs()} {
		ended := make(chan error, len(names))
		for _, name := range names {
			go func() { ended <- r.stopProcess(name) }() // awaited below
		}
		for range names {
			if err := <-ended; err != nil {
				r.violated("a process did not end as it should: %v", err)
				continue
			}
			r.count("processes that ended in order", 1)
		}
	}
	for name, p := range r.Processes {
		if p.Running() {
			r.violated("%s is left", name)
		}
	}
	r.recordEvent(FleetEvent, "all have ended")
}
