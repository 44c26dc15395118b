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

// roleVariable is the environment variable that makes the test binary act as a controller.
const roleVariable = "CONTROLLER_TEST_ROLE"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		os.Args = append([]string{"controller"}, os.Args[1:]...)
		main()
	}
	os.Exit(m.Run())
}

// lockedBuffer collects the output of a process. It may be used concurrently.
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

// Guards against SIGHUP, which reloads the configuration of the other programs, killing a controller without
// a log line, so that no controller holds its tasks until their leases expire: without a handler the signal ends the
// process. A controller reads its file only at the start; on SIGHUP it logs that and keeps running. SIGTERM
// ends it within its shutdown timeout, in any combination with SIGHUP, and without a registry.
func TestHangupIsIgnoredAndTermShutsDown(t *testing.T) {
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
					t.Fatalf("the controller ended before it served: %v\n%s", err, log.String())
				case <-time.After(10 * time.Millisecond):
				}
			}
			for _, signal := range signals {
				_ = cmd.Process.Signal(signal) // the process may have ended already
			}
			select {
			case err := <-ended:
				if err := faultinjection.CheckEnd(err, log.String()); err != nil {
					t.Errorf("the controller ended with %v, want an orderly shutdown:\n%s", err, log.String())
				}
			case <-time.After(shutdownTimeout):
				_ = cmd.Process.Kill()
				t.Errorf("the controller has not ended after %v:\n%s", shutdownTimeout, log.String())
			}
			if signals[0] == hup && !strings.Contains(log.String(), "controller: configuration not reloaded") {
				t.Errorf("the log does not report that the configuration was not reloaded:\n%s", log.String())
			}
		})
	}
}

// SIGTERM ends a controller at once while the read of its configuration hangs, as on a failed disk: nothing
// has started yet.
func TestShutdownWhileConfigurationReadHangs(t *testing.T) {
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
			writer, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the process opens the pipe for reading
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
					t.Errorf("the process was ended by its shutdown watchdog, want an orderly shutdown: %v\n%s", err, log.String())
				}
				if name == "serve" && err != nil { // an interrupted check may fail
					t.Errorf("the process ended with %v, want status 0:\n%s", err, log.String())
				}
			case <-time.After(shutdownTimeout):
				_ = cmd.Process.Kill()
				t.Errorf("the process has not ended %v after SIGTERM:\n%s", shutdownTimeout, log.String())
			}
		})
	}
}
