package chaostest

import (
	"barleywick/internal/rollout"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// processSize is what a process takes.
type processSize struct {
	start uint64
	rss   int64
	fds   int
}

func (r *run) processSizes() map[string]processSize {
	all := make(map[string]processSize)
	for name, p := range r.Processes {
		pid := strconv.Itoa(p.PID())
		s := processSize{start: rollout.ProcessStartTicks(p.PID())}
		text, err := os.ReadFile(filepath.Join("/proc", pid, "statm"))
		fields := strings.Fields(string(text))
		if err != nil || len(fields) < 2 {
			continue
		}
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		s.rss = pages * int64(os.Getpagesize())
		open, err := os.ReadDir(filepath.Join("/proc", pid, "fd"))
		if err != nil {
			continue
		}
		s.fds = len(open)
		all[name] = s
	}
	return all
}

// checkGrowth compares what processes take with what they took at the start.
func (r *run) checkGrowth(was map[string]processSize) {
	now := r.processSizes()
	var most int64
	for name, s := range now {
		w, ok := was[name]
		if !ok {
			continue
		}
		r.count("sizes compared", 1)
		most = max(most, s.rss)
		if s.rss > w.rss*3/2+allowedMemoryGrowth {
			r.violated("%s takes %d KiB of memory, %d at the start", name, s.rss>>10, w.rss>>10)
		}
		if s.fds > w.fds+allowedDescriptorGrowth {
			r.violated("%s has %d descriptors open, %d at the start", name, s.fds, w.fds)
		}
	}
	r.recordEvent("promise", "no process has grown: the largest takes %d MiB", most>>20)
}

// stopProcess has a process end in order. One that does not tells what it is at.
func (r *run) stopProcess(name string) error {
	p := r.Processes[name]
	_ = p.Signal(syscall.SIGCONT)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("%s has ended before: %w", name, err)
	}
	for deadline := time.Now().Add(stopTimeout); p.Running(); time.Sleep(pollInterval / 10) {
		if time.Now().After(deadline) {
			_ = p.Signal(syscall.SIGQUIT)
			time.Sleep(4 * pollInterval)
			r.keepLogTail(name)
			p.Kill()
			return fmt.Errorf("%s did not end within %v", name, stopTimeout)
		}
	}
	return nil
}

// stopAll asks every process to end, and looks whether it does.
func (r *run) stopAll() {
	for _, names := range [][]string{r.sidecars, r.controllers, {"r0", "r1", "r2"}} {
		ended := make(chan error, len(names))
		for _, name := range names {
			go func() { ended <- r.stopProcess(name) }() // awaited below
		}
		for range names {
			if err := <-ended; err != nil {
				r.violated("a process did not end as it should: %v", err)
			}
		}
	}
	r.count("processes that ended in order", uint64(len(r.Processes)))
	for name, p := range r.Processes {
		if p.Running() {
			r.violated("%s is left", name)
		}
	}
	r.recordEvent("fleet", "all have ended")
}
