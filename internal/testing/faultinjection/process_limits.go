package faultinjection

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"runtime"

	"golang.org/x/sys/unix"
)

// LimitDescriptors sets the number of file descriptors that the running process may hold.
func (p *Process) LimitDescriptors(count uint64) error {
	limit := unix.Rlimit{Cur: count, Max: count}
	if err := unix.Prlimit(p.PID(), unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("limit the descriptors of %s: %w", p.Name, err)
	}
	return nil
}

// PeakMemory returns the largest resident set of the running process so far, in bytes, from
// /proc/PID/status.
func (p *Process) PeakMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, fmt.Errorf("peak memory of %s: %w", p.Name, err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var kilobytes int64
		if n, _ := fmt.Sscanf(lines.Text(), "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("peak memory of %s: /proc has none", p.Name)
}

// StartOnProcessor starts a command that may run only on one of the processors that this process may use,
// chosen by index modulo their number.
func StartOnProcessor(cmd *exec.Cmd, index int) error {
	runtime.LockOSThread() // a process inherits the processors of the thread that starts it
	defer runtime.UnlockOSThread()
	var all unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return fmt.Errorf("read the processors: %w", err)
	}
	one := nthProcessor(&all, index)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return fmt.Errorf("choose a processor: %w", err)
	}
	startErr := cmd.Start()
	if err := unix.SchedSetaffinity(0, &all); err != nil {
		return fmt.Errorf("restore the processors: %w", err)
	}
	return startErr
}

// nthProcessor returns the set of one of the processors of all, chosen by index modulo their number.
func nthProcessor(all *unix.CPUSet, index int) (one unix.CPUSet) {
	skip := index % max(all.Count(), 1)
	for cpu := 0; one.Count() == 0; cpu++ {
		if !all.IsSet(cpu) {
			continue
		}
		if skip == 0 {
			one.Set(cpu)
		}
		skip--
	}
	return one
}
