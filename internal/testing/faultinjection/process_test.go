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

// endEnvVariable makes the test binary a process that ends in the given way.
const endEnvVariable = "FAULTINJECTION_TEST_END"

func TestMain(m *testing.M) {
	switch os.Getenv(endEnvVariable) {
	case "":
		os.Exit(m.Run())
	case "cut off":
		shutdown.Begin("p", time.Millisecond)
		select {}
	case "cut off, status 0": // main returns while the watchdog writes its log
		slog.Error(cutOffMark)
	}
}

// A process that was terminated by its shutdown watchdog has not exited cleanly, whatever its exit status
// is. This does not affect the next start: if that process exits cleanly, there is no error.
func TestCutOffShutdownIsAnError(t *testing.T) {
	var end string
	p := &Process{Name: "p", NewCommand: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), endEnvVariable+"="+end)
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
		for deadline := time.Now().Add(eventTimeout); p.Running(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: the process has not ended", x.end)
			}
		}
		for name, err := range map[string]error{"Terminate": p.Terminate(eventTimeout), "EndError": p.EndError(), "CrashError": p.CrashError()} {
			if (err == nil) != x.inOrder || !x.inOrder && !strings.Contains(err.Error(), cutOffMark) {
				t.Errorf("%s: %s: got the error %v, want an error with the cut-off line: %v", x.end, name, err, !x.inOrder)
			}
		}
	}
}

// An injected crash does not hide that the process had failed before.
func TestCrashAfterFailure(t *testing.T) {
	for status, wantError := range map[string]bool{"0": false, "3": true} {
		p := &Process{Name: "p", NewCommand: func() *exec.Cmd { return exec.Command("sh", "-c", "exit "+status) }}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(eventTimeout); p.Running(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the process has not ended")
			}
		}
		i := &Injector{Network: NewNetwork(1), Processes: map[string]*Process{"p": p}}
		if _, err := i.Inject(Fault{Kind: Crash, Target: "p"}); (err != nil) != wantError {
			t.Errorf("after status %s: got the error %v, want one: %v", status, err, wantError)
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
	if p.EndError() == nil || p.CrashError() != nil {
		t.Errorf("after Kill: EndError is %v, CrashError is %v; want an EndError and no CrashError", p.EndError(), p.CrashError())
	}
	if err := p.Start(); err != nil || p.Starts != 2 {
		t.Errorf("second start: got error %v and %d starts, want no error and 2", err, p.Starts)
	}
	if err := p.Terminate(eventTimeout); err == nil { // the signal terminates sleep
		t.Error("a process that was terminated by the signal: got no error")
	}
	if err := p.Terminate(eventTimeout); err == nil {
		t.Error("a process that had been terminated by a signal before: got no error")
	}
	if err := new(Process).Terminate(eventTimeout); err == nil {
		t.Error("a process that was never started: got no error")
	}
}

// startWithOpenOutput starts a shell and waits until it has ended. A child of the shell keeps the output
// open until the returned function is called; it then writes "last words" and ends.
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
	for deadline := time.Now().Add(eventTimeout); p.Signal(syscall.Signal(0)) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the process has not ended")
		}
	}
	return p, func() { writer.Close() }
}

// Terminate also waits for a process that has ended just before: all of its output is read, and its exit
// status is reported.
func TestTerminateAfterTheEnd(t *testing.T) {
	p, closeOutput := startWithOpenOutput(t, "3", 0)
	time.AfterFunc(100*time.Millisecond, closeOutput)
	err := p.Terminate(eventTimeout)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 3 {
		t.Errorf("got the error %v, want exit status 3", err)
	}
	if !strings.Contains(p.Output(), "last words") {
		t.Errorf("the output was not read to its end: %q", p.Output())
	}
}

// If another process keeps the output open, Terminate returns after the output delay, with an error as
// the output was not read to its end.
func TestOutputThatStaysOpen(t *testing.T) {
	p, closeOutput := startWithOpenOutput(t, "0", 50*time.Millisecond)
	watchdog := time.AfterFunc(eventTimeout/2, closeOutput)
	if err := p.Terminate(eventTimeout); !errors.Is(err, exec.ErrWaitDelay) {
		t.Errorf("got the error %v, want %v", err, exec.ErrWaitDelay)
	}
	if !watchdog.Stop() {
		t.Error("Terminate waited until the output was closed, want only for the output delay")
	}
}

var _ io.Writer = (*Process)(nil)
