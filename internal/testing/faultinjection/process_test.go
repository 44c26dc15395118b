package faultinjection

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/shutdown"
)

// endVariable makes the test binary a process that ends in a certain way.
const endVariable = "FAULTINJECTION_TEST_END"

func TestMain(m *testing.M) {
	switch os.Getenv(endVariable) {
	case "":
		os.Exit(m.Run())
	case "cut off":
		shutdown.Begin("p", time.Millisecond)
		select {}
	case "cut off, status 0": // its main function ends while the watchdog writes
		slog.Error(cutOffMark)
	}
}

// A process that its watchdog has cut off has not ended in order, whatever its status is; one
// that is started again afterwards and ends in order has.
func TestCutOffIsNoEnd(t *testing.T) {
	var end string
	p := &Process{Name: "p", NewCommand: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), endVariable+"="+end)
		return cmd
	}}
	for _, x := range []struct {
		end     string
		inOrder bool
	}{{"cut off", false}, {"in order", true}, {"cut off, status 0", false}, {"in order", true}} {
		end = x.end
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(patience); p.Running(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: it has not ended", x.end)
			}
		}
		for name, err := range map[string]error{"Terminate": p.Terminate(patience), "EndError": p.EndError(), "Crashed": p.Crashed()} {
			if (err == nil) != x.inOrder || !x.inOrder && !strings.Contains(err.Error(), cutOffMark) {
				t.Errorf("%s: %s: got the error %v, want one that says so: %v", x.end, name, err, !x.inOrder)
			}
		}
	}
}

// A crash that is injected does not hide that the process had failed by itself before.
func TestCrashAfterFailure(t *testing.T) {
	for status, hidden := range map[string]bool{"0": false, "3": true} {
		p := &Process{Name: "p", NewCommand: func() *exec.Cmd { return exec.Command("sh", "-c", "exit "+status) }}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(patience); p.Running(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the process has not ended")
			}
		}
		i := &Injector{Network: NewNetwork(1), Processes: map[string]*Process{"p": p}}
		if _, err := i.Inject(Fault{Kind: Crash, Target: "p"}); (err != nil) != hidden {
			t.Errorf("after status %s: got the error %v, want one: %v", status, err, hidden)
		}
	}
}

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
	if p.EndError() == nil || p.Crashed() != nil {
		t.Errorf("a process that was killed has ended with %v, crashed with %v; want an end that is not in order and no crash", p.EndError(), p.Crashed())
	}
	if err := p.Start(); err != nil || p.Starts != 2 {
		t.Errorf("second start: %v, %d starts", err, p.Starts)
	}
	if err := p.Terminate(patience); err == nil { // sleep ends by the signal
		t.Error("a process that ended by a signal: got no error")
	}
	if err := p.Terminate(patience); err == nil {
		t.Error("a process that has ended before, by a signal: got no error")
	}
	if err := new(Process).Terminate(patience); err == nil {
		t.Error("a process that was never started: got no error")
	}
}

// startWithOpenOutput starts a shell that has ended, while its output stays open until the
// returned function is called; last words are then written.
func startWithOpenOutput(t *testing.T, status string, outputDelay time.Duration) (p *Process, closeOutput func()) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		reader.Close()
		writer.Close()
	})
	p = &Process{Name: "p", outputDelay: outputDelay, NewCommand: func() *exec.Cmd {
		cmd := exec.Command("sh", "-c", "exec 3<&0; (read line <&3; echo last words) & exit "+status)
		cmd.Stdin = reader
		return cmd
	}}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(patience); p.Signal(syscall.Signal(0)) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the process has not ended")
		}
	}
	return p, func() { writer.Close() }
}

// A process that has ended just before it is told to is awaited like any other: all that it
// has written is read, and its exit status counts.
func TestTerminateAfterTheEnd(t *testing.T) {
	p, closeOutput := startWithOpenOutput(t, "3", 0)
	time.AfterFunc(100*time.Millisecond, closeOutput)
	err := p.Terminate(patience)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 3 {
		t.Errorf("got the error %v, want exit status 3", err)
	}
	if !strings.Contains(p.Output(), "last words") {
		t.Errorf("its output was not read to the end: %q", p.Output())
	}
}

// Output that another process holds open does not hold a test for ever, and is an error: it was
// not read to its end.
func TestOutputThatStaysOpen(t *testing.T) {
	p, closeOutput := startWithOpenOutput(t, "0", 50*time.Millisecond)
	watchdog := time.AfterFunc(patience/2, closeOutput)
	if err := p.Terminate(patience); !errors.Is(err, exec.ErrWaitDelay) {
		t.Errorf("got the error %v, want %v", err, exec.ErrWaitDelay)
	}
	if !watchdog.Stop() {
		t.Error("its output was waited for until it was closed")
	}
}

var _ io.Writer = (*Process)(nil)
