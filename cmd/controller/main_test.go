package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/testing/faultinjection"
)

// roleVariable makes the test binary a controller.
const roleVariable = "CONTROLLER_TEST_ROLE"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		os.Args = append([]string{"controller"}, os.Args[1:]...)
		main()
	}
	os.Exit(m.Run())
}

// lockedBuffer keeps what a process writes.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// What happens: SIGHUP, by which an operator has the other programs read their files again,
// kills a controller on the spot: its tasks are nobody's until their leases end, and its log
// says nothing. Why: nobody had asked for the signal, whose default is the process's end. A
// controller reads its file at the start only; it has to say so and go on. It ends by SIGTERM
// in its time, whatever comes before, with and after it, and with no registry to hand its
// tasks over to.
func TestSignals(t *testing.T) {
	const listen = "127.0.0.1:0"
	hup, term := syscall.SIGHUP, syscall.SIGTERM
	for name, signals := range map[string][]syscall.Signal{
		"SIGHUP before": {hup, hup, term},
		"SIGHUP after":  {term, hup},
		"SIGTERM twice": {term, term},
		"all":           {hup, term, hup, term},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "k1.toml")
			text := fmt.Sprintf("name = \"k1\"\nregistry = [\"127.0.0.1:1\"]\nlisten = %q\n[health]\n", listen)
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			var log lockedBuffer
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), roleVariable+"=controller", "CONTROLLER_CONFIG="+path)
			cmd.Stdout, cmd.Stderr = &log, &log
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			for !strings.Contains(log.String(), "controller: serving") {
				select {
				case err := <-ended:
					t.Fatalf("it ended by itself: %v\n%s", err, log.String())
				case <-time.After(10 * time.Millisecond):
				}
			}
			for _, signal := range signals {
				_ = cmd.Process.Signal(signal) // it may just have ended
			}
			select {
			case err := <-ended:
				if err := faultinjection.CheckEnd(err, log.String()); err != nil {
					t.Errorf("it ended with %v:\n%s", err, log.String())
				}
			case <-time.After(endBound):
				_ = cmd.Process.Kill()
				t.Errorf("it has not ended after %v:\n%s", endBound, log.String())
			}
			if signals[0] == hup && !strings.Contains(log.String(), "controller: file not read again") {
				t.Errorf("it does not say that its file was not read again:\n%s", log.String())
			}
		})
	}
}

// A configuration whose read hangs, as a dead disk's does, does not keep a process from ending by
// SIGTERM: nothing has started yet.
func TestEndWhileConfigurationIsRead(t *testing.T) {
	for name, args := range map[string][]string{"serve": nil, "check": {"check"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "k1.toml")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			var log lockedBuffer
			cmd := exec.Command(os.Args[0], args...)
			cmd.Env = append(os.Environ(), roleVariable+"=controller", "CONTROLLER_CONFIG="+path)
			cmd.Stdout, cmd.Stderr = &log, &log
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			writer, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the process reads
			if err != nil {
				t.Fatal(err)
			}
			defer writer.Close()
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			select {
			case err := <-ended:
				if strings.Contains(log.String(), "shutdown: cut off") {
					t.Errorf("its watchdog had to end it: %v\n%s", err, log.String())
				}
				if name == "serve" && err != nil { // a check that was not made has failed
					t.Errorf("it ended with %v, want status 0:\n%s", err, log.String())
				}
			case <-time.After(endBound):
				_ = cmd.Process.Kill()
				t.Errorf("it has not ended %v after SIGTERM:\n%s", endBound, log.String())
			}
		})
	}
}
