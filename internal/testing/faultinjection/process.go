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
	// maxOutputBytes bounds the kept output of a process. When it is exceeded, the older half is dropped.
	maxOutputBytes = 4 << 20
	// defaultOutputDelay is how long output is still read after a process's end if another process keeps
	// the pipe open.
	defaultOutputDelay = 10 * time.Second
)

// Process is a process that can be killed, stopped, continued and started again. A zero value with
// Name and NewCommand set is ready to start.
type Process struct {
	Name       string
	NewCommand func() *exec.Cmd // returns a command that has not been started

	// Processor confines the process to one processor: see StartOnProcessor. 0: it may use all; otherwise
	// its index plus one.
	Processor int

	outputDelay time.Duration // 0: defaultOutputDelay

	mu              sync.Mutex
	cmd             *exec.Cmd     // nil: not running
	ended           chan struct{} // closed when the last started process has ended
	waitErr         error         // result of exec.Cmd.Wait of the last start
	killed          bool          // Kill was called since the last start
	output          bytes.Buffer
	lastOutputStart int // offset in output where that of the last start begins
	Starts          int // number of successful starts
}

// Write appends to the process's output.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.output.Len()+len(b) > maxOutputBytes {
		dropped := p.output.Len() / 2
		p.output.Next(dropped)
		p.lastOutputStart = max(0, p.lastOutputStart-dropped)
	}
	return p.output.Write(b)
}

// Output returns the latest output of the process over all its starts.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Start starts the process. The kernel kills it when the calling process ends.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is already running", p.Name)
	}
	cmd := p.NewCommand()
	cmd.Stdout, cmd.Stderr = p, p
	cmd.WaitDelay = cmp.Or(p.outputDelay, defaultOutputDelay)
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = new(syscall.SysProcAttr)
	}
	cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
	p.lastOutputStart = p.output.Len() // Write is blocked by the lock
	start := cmd.Start
	if p.Processor > 0 {
		start = func() error { return StartOnProcessor(cmd, p.Processor-1) }
	}
	if err := start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.killed = cmd, ended, false
	p.Starts++
	go p.awaitExit(cmd, ended) // ends with the process
	return nil
}

// awaitExit waits for the end of a started command and records its result.
func (p *Process) awaitExit(cmd *exec.Cmd, ended chan<- struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.waitErr = err
	if p.cmd == cmd {
		p.cmd = nil
	}
	p.mu.Unlock()
	close(ended)
}

// Running reports whether the process exists, also while it is stopped by a signal.
func (p *Process) Running() bool { return p.PID() != 0 }

// PID returns the process id, or 0 if the process is not running.
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
		return fmt.Errorf("%s is not running", p.Name)
	}
	return p.cmd.Process.Signal(signal)
}

// setDiskFull makes the process's writes to files beyond their first byte fail, or succeed again, by
// a limit of the file size. To the process it looks like a full disk, except that it has to ignore
// SIGXFSZ, which it would not get from a really full disk.
func (p *Process) setDiskFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil // the limit does not apply to the next start
	}
	pid := p.cmd.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return fmt.Errorf("read the file size limit of %s: %w", p.Name, err)
	}
	limit.Cur = limit.Max
	if full {
		limit.Cur = 1
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("set the file size limit of %s: %w", p.Name, err)
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

// Terminate sends SIGTERM to the process, and waits until it has ended and its output has been read.
// It returns the error of EndError, also if the process had ended before. After the timeout it kills
// the process and returns an error.
func (p *Process) Terminate(timeout time.Duration) error {
	for _, signal := range []syscall.Signal{syscall.SIGCONT, syscall.SIGTERM} {
		_ = p.Signal(signal) // fails if the process has ended
	}
	err := p.AwaitEnd(timeout)
	if errors.Is(err, ErrRunning) {
		p.Kill()
		return fmt.Errorf("%s did not end within %v", p.Name, timeout)
	}
	return err
}

// ErrRunning is returned by AwaitEnd if the process has not ended before the timeout.
var ErrRunning = errors.New("the process is still running")

// AwaitEnd waits until the last started process has ended and its output has been read. It returns
// the error of EndError, or ErrRunning after the timeout.
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

// EndError returns an error if the last started process did not end in order (see CheckEnd). It
// returns nil if it did, or if it is running.
func (p *Process) EndError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.ended == nil {
		return nil
	}
	return CheckEnd(p.waitErr, string(p.output.Bytes()[p.lastOutputStart:]))
}

// CrashError returns an error if the last started process neither exited cleanly nor was ended by
// Kill. A process that had failed before Kill was called counts as crashed.
func (p *Process) CrashError() error {
	p.mu.Lock()
	killed, waitError := p.killed, p.waitErr
	p.mu.Unlock()
	if killed && endedBy(waitError, syscall.SIGKILL) {
		return nil
	}
	return p.EndError()
}

// endedBy reports whether a process was terminated by a signal. waitError is the result of
// exec.Cmd.Wait.
func endedBy(waitError error, signal syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(waitError, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}

// cutOffMark is in the log of a process that was terminated by its own shutdown watchdog (package shutdown).
const cutOffMark = "shutdown: cut off"

// CheckEnd returns an error unless a process exited cleanly: with status 0, and without being
// terminated by its own shutdown watchdog. waitError is the result of exec.Cmd.Wait, log the output of the process.
func CheckEnd(waitError error, log string) error {
	at := strings.Index(log, cutOffMark)
	if at < 0 {
		return waitError
	}
	line, _, _ := strings.Cut(log[at:], "\n")
	return errors.Join(waitError, errors.New(line))
}
