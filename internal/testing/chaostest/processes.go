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
	// stopTimeout is how long a process may take to end after SIGTERM.
	stopTimeout = 20 * time.Second
	// stackDumpTimeout is how long a process may take to log its goroutines.
	stackDumpTimeout = 4 * pollInterval
	// maxMemoryGrowth is how many bytes a process's memory may grow over a run, in addition to half of
	// its size at the start: bounded caches and buffers fill up.
	maxMemoryGrowth     = 24 << 20
	maxDescriptorGrowth = 64
)

// processSize holds the resources that a process uses.
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

// checkGrowth checks that no process uses much more memory or descriptors than at the start.
func (r *run) checkGrowth(atStart map[string]processSize) {
	var largest int64
	for name, now := range r.processSizes() {
		before, ok := atStart[name]
		if !ok {
			continue
		}
		r.count("sizes compared", 1)
		largest = max(largest, now.memory)
		if now.memory > before.memory*3/2+maxMemoryGrowth {
			r.violated("%s uses %d KiB of memory, %d at the start", name, now.memory>>10, before.memory>>10)
		}
		if now.descriptors > before.descriptors+maxDescriptorGrowth {
			r.violated("%s has %d descriptors open, %d at the start", name, now.descriptors, before.descriptors)
		}
	}
	r.recordEvent(InvariantEvent, "checked the sizes of processes: the largest uses %d MiB", largest>>20)
}

// stopProcess stops a process with SIGTERM. If it does not end, SIGQUIT makes it log its goroutines
// before it is killed. It is also an error if the process ends with another status than 0, as it does
// when its own watchdog cuts its shutdown off. On each error the end of its log is kept.
func (r *run) stopProcess(name string) error {
	p := r.Processes[name]
	_ = p.Signal(syscall.SIGCONT) // an error means that the process has ended; then SIGTERM fails, too
	if err := p.Signal(syscall.SIGTERM); err != nil {
		r.keepLogTail(name)
		return fmt.Errorf("%s has ended before SIGTERM: %w", name, err)
	}
	switch err := p.AwaitEnd(stopTimeout); {
	case errors.Is(err, faultinjection.ErrRunning):
		_ = p.Signal(syscall.SIGQUIT)    // an error means that the process has just ended
		_ = p.AwaitEnd(stackDumpTimeout) // it may hang
		p.Kill()
		r.keepLogTail(name)
		return fmt.Errorf("%s did not end within %v", name, stopTimeout)
	case err != nil:
		r.keepLogTail(name)
		return fmt.Errorf("%s ended with an error after SIGTERM: %w", name, err)
	}
	return nil
}

// stopAll stops all processes, the replicas last, and checks that each of them ends.
func (r *run) stopAll() {
	for _, names := range [][]string{r.sidecars, r.controllers, r.replicaIDs()} {
		ended := make(chan error, len(names))
		for _, name := range names {
			go func() { ended <- r.stopProcess(name) }() // awaited below
		}
		for range names {
			if err := <-ended; err != nil {
				r.violated("a process did not end in order: %v", err)
				continue
			}
			r.count("processes that ended in order", 1)
		}
	}
	for name, p := range r.Processes {
		if p.Running() {
			r.violated("%s is still running after the stop", name)
		}
	}
	r.recordEvent(FleetEvent, "all have ended")
}
