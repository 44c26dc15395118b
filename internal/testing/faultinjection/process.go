package faultinjection

import (
	"bytes"
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is a real process of ours that can be killed, stopped and continued by its
// id, and started again on its own folder.
type Process struct {
	Name       string
	NewCommand func() *exec.Cmd // a command that was not started yet

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error
	stopped bool
	log     bytes.Buffer
	Starts  int
}

// maxLog bounds what is kept of a process's output, the latest.
const maxLog = 4 << 20

// Write keeps what the process writes.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log.Len()+len(b) > maxLog {
		p.log.Next(p.log.Len() / 2)
	}
	return p.log.Write(b)
}

// Output is what it wrote.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Start starts the process; it ends with this one at the latest.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s runs already", p.Name)
	}
	cmd := p.NewCommand()
	cmd.Stdout, cmd.Stderr = p, p
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = new(syscall.SysProcAttr)
	}
	cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.stopped = cmd, ended, false
	p.Starts++
	go func() { // ends with the process
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		if p.cmd == cmd {
			p.cmd = nil
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Running says whether it runs, stopped or not.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// PID is its id; 0 where it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends it a signal.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.Name)
	}
	switch s {
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	return p.cmd.Process.Signal(s)
}

// setDiskFull has its writes to files fail from now on, beyond their first byte, or lets them
// through again: a full disk, as far as one process can tell. The process has to pass
// over SIGXFSZ, as one on a disk that is really full never gets it.
func (p *Process) setDiskFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil // it starts again with room
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

// Kill ends it outright.
func (p *Process) Kill() {
	p.mu.Lock()
	ended := p.ended
	if p.cmd != nil {
		p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Terminate asks it to end, and kills it when it has not after a time.
func (p *Process) Terminate(within time.Duration) error {
	p.Signal(syscall.SIGCONT)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return nil // it has ended
	}
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(within):
		p.Kill()
		return fmt.Errorf("%s did not end within %v", p.Name, within)
	}
}
