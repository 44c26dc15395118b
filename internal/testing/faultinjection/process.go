package faultinjection

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxOutputBytes bounds the output of a process that is held. Of more the latest is.
	maxOutputBytes = 4 << 20
	// defaultOutputDelay is for how long output is read after a process's end that another process
	// holds open.
	defaultOutputDelay = 10 * time.Second
)

// Process is a process that can be killed, stopped and continued by its id, and started
// again. Its zero value with Name and NewCommand set is ready to start.
type Process struct {
	Name       string
	NewCommand func() *exec.Cmd // returns a command that was not started yet

	outputDelay time.Duration // 0: the default

	mu     sync.Mutex
	cmd    *exec.Cmd     // nil: it does not run
	ended  chan struct{} // closed when the last start has ended
	err    error         // of its end
	killed bool          // by Kill, since the last start
	output bytes.Buffer
	begun  int // where the last start's output begins
	Starts int // number of successful starts
}

// Write takes the process's output.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.output.Len()+len(b) > maxOutputBytes {
		dropped := p.output.Len() / 2
		p.output.Next(dropped)
		p.begun = max(0, p.begun-dropped)
	}
	return p.output.Write(b)
}

// Output returns what the process has written, over all its starts.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Start starts the process. The kernel kills it when this process ends.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s runs already", p.Name)
	}
	cmd := p.NewCommand()
	cmd.Stdout, cmd.Stderr = p, p
	cmd.WaitDelay = cmp.Or(p.outputDelay, defaultOutputDelay)
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = new(syscall.SysProcAttr)
	}
	cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
	p.begun = p.output.Len() // Write waits for the lock
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.killed = cmd, ended, false
	p.Starts++
	go p.wait(cmd, ended) // ends with the process
	return nil
}

// wait waits for the end of a start.
func (p *Process) wait(cmd *exec.Cmd, ended chan<- struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	if p.cmd == cmd {
		p.cmd = nil
	}
	p.mu.Unlock()
	close(ended)
}

// Running reports whether the process runs, stopped by a signal or not.
func (p *Process) Running() bool { return p.PID() != 0 }

// PID returns the process id; 0: it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends the process a signal.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.Name)
	}
	return p.cmd.Process.Signal(signal)
}

// setDiskFull has the process's writes to files fail beyond their first byte, or succeed
// again: a full disk, as far as one process can tell. The process has to ignore SIGXFSZ,
// which it would not get on a disk that is really full.
func (p *Process) setDiskFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil // it starts again without the limit
	}
	pid := p.cmd.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return fmt.Errorf("limit of %s: %w", p.Name, err)
	}
	limit.Cur = limit.Max
	if full {
		limit.Cur = 1
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("limit of %s: %w", p.Name, err)
	}
	return nil
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	ended := p.ended
	if p.cmd != nil {
		if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			fmt.Fprintf(&p.output, "kill %s: %v\n", p.Name, err)
		} else if err == nil {
			p.killed = true
		}
	}
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Terminate sends the process SIGTERM and waits for its end, until all of its output is read
// and its exit status is known: the end's error is returned, also where it has ended before.
// After the timeout it kills it.
func (p *Process) Terminate(timeout time.Duration) error {
	for _, signal := range []syscall.Signal{syscall.SIGCONT, syscall.SIGTERM} {
		_ = p.Signal(signal) // it fails if the process has ended
	}
	err := p.AwaitEnd(timeout)
	if errors.Is(err, ErrRunning) {
		p.Kill()
		return fmt.Errorf("%s did not end within %v", p.Name, timeout)
	}
	return err
}

// ErrRunning says that a process has not ended.
var ErrRunning = errors.New("the process runs")

// AwaitEnd waits until the last start has ended and its output is read. It returns how it has
// ended, as EndError does, and ErrRunning after the timeout.
func (p *Process) AwaitEnd(timeout time.Duration) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return fmt.Errorf("%s was never started", p.Name)
	}
	select {
	case <-ended:
		return p.EndError()
	case <-time.After(timeout):
		return ErrRunning
	}
}

// EndError returns why the last start has not ended in order; nil: it has, or it runs.
func (p *Process) EndError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.ended == nil {
		return nil
	}
	return CheckEnd(p.err, string(p.output.Bytes()[p.begun:]))
}

// Crashed returns an error if the last start has ended neither in order nor by Kill. A process
// that had failed before it was killed has crashed.
func (p *Process) Crashed() error {
	p.mu.Lock()
	killed, waitError := p.killed, p.err
	p.mu.Unlock()
	if killed && endedBy(waitError, syscall.SIGKILL) {
		return nil
	}
	return p.EndError()
}

// endedBy reports whether a process was ended by a signal. waitError is what exec.Cmd.Wait
// returned.
func endedBy(waitError error, signal syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(waitError, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}

// cutOffMark is in the log of a process whose end its own watchdog has cut off (package shutdown).
const cutOffMark = "shutdown: cut off"

// CheckEnd returns an error unless a process has ended in order: with status 0, and without
// its own watchdog. waitError is what exec.Cmd.Wait returned, log what the process wrote.
func CheckEnd(waitError error, log string) error {
	at := strings.Index(log, cutOffMark)
	if at < 0 {
		return waitError
	}
	line, _, _ := strings.Cut(log[at:], "\n")
	return errors.Join(waitError, errors.New(line))
}
