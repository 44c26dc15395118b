package faultinjection

import (
	"io"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestProcess(t *testing.T) {
	p := &Process{Name: "p", NewCommand: func() *exec.Cmd { return exec.Command("sh", "-c", "echo up; exec sleep 1000") }}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	if err := p.Start(); err == nil {
		t.Error("a running process was started again")
	}
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := p.Signal(s); err != nil {
			t.Error(err)
		}
	}
	for !strings.Contains(p.Output(), "up") {
		time.Sleep(time.Millisecond)
	}
	p.Kill()
	if p.Running() || p.Signal(syscall.SIGCONT) == nil {
		t.Error("a killed process counts as running")
	}
	if err := p.Start(); err != nil || p.Starts != 2 {
		t.Errorf("second start: %v, %d starts", err, p.Starts)
	}
	if err := p.Terminate(patience); err == nil { // sleep ends by the signal
		t.Error("a process that ended by a signal: got no error")
	}
	if err := p.Terminate(patience); err != nil {
		t.Errorf("a process that has ended: %v", err)
	}
}

var _ io.Writer = (*Process)(nil)
