package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loopback"
)

// TestMain lets the test binary act as the program.
func TestMain(m *testing.M) {
	if os.Getenv("BARLEYWICK_RUN_MAIN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestStartupErrorIsOneLine(t *testing.T) {
	for name, config := range map[string]string{"none": "", "missing file": "/nonexistent/config.json", "no JSON": os.Args[0]} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "BARLEYWICK_RUN_MAIN=1", "ROUTER_CONFIG="+config)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		line := stderr.String()
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || strings.Count(line, "\n") != 1 || !strings.HasPrefix(line, "sidecar: ") {
			t.Errorf("%s: %v, %q; want exit 1 and one line", name, err, line)
		}
	}
}

// SIGHUP reloads the configuration and the sidecar keeps serving. SIGTERM, sent for a planned restart, ends it
// with status 0.
func TestHangupReloadsAndTermExitsWithZero(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	config := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n0","listen":"` + addr + `","discovery":"127.0.0.1:1","seed":"ff",
		"known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"up","share":1}]},
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},
		"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "BARLEYWICK_RUN_MAIN=1", "ROUTER_CONFIG="+config)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	watchdog := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	defer watchdog.Stop()
	lines := bufio.NewScanner(stderr)
	for lines.Scan() && !strings.Contains(lines.Text(), "msg=serving") {
	}
	if err := os.WriteFile(config, []byte(strings.Replace(text, `"127.0.0.1:1","seed"`, `"127.0.0.1:2","seed"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	reloaded := false
	for !reloaded && lines.Scan() {
		reloaded = strings.Contains(lines.Text(), "addresses changed") && strings.Contains(lines.Text(), "127.0.0.1:2")
	}
	if !reloaded {
		t.Error("the sidecar did not apply the new configuration")
	}
	resp, err := http.Get("http://" + addr + "/health/ready")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("/health/ready: got response %v, error %v; want status 200", resp, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	for lines.Scan() { // reads the log to its end
		fmt.Fprintln(&log, lines.Text())
	}
	if err := faultinjection.CheckEnd(cmd.Wait(), log.String()); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}

// SIGTERM ends a sidecar at once while the read of its configuration hangs, as on a failed disk: nothing has
// started yet.
func TestShutdownWhileConfigurationReadHangs(t *testing.T) {
	const bound = 10 * time.Second // far below any shutdown timeout in docs/SHUTDOWN.md
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "BARLEYWICK_RUN_MAIN=1", "ROUTER_CONFIG="+path)
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
		if err != nil {
			t.Errorf("the sidecar ended with %v, want status 0", err)
		}
	case <-time.After(bound):
		_ = cmd.Process.Kill()
		t.Errorf("the sidecar has not ended %v after SIGTERM", bound)
	}
}

// A configuration whose read hangs after SIGHUP does not keep a sidecar from an orderly shutdown: it handles
// SIGTERM meanwhile.
func TestShutdownWhileReloadHangs(t *testing.T) {
	const bound = 10 * time.Second
	addr, err := loopback.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n0","listen":"` + addr + `","discovery":"127.0.0.1:1","seed":"ff","limits":{"cores":1.0,"memory_mb":192,"sockets":256},
		"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process := &faultinjection.Process{Name: "sidecar", NewCommand: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "BARLEYWICK_RUN_MAIN=1", "ROUTER_CONFIG="+path)
		return cmd
	}}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	defer process.Kill()
	for deadline := time.Now().Add(bound); !strings.Contains(process.Output(), "msg=serving"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the sidecar does not serve:\n%s", process.Output())
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	writer, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the process opens the pipe for reading
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	if err := process.Terminate(bound); err != nil {
		t.Errorf("the sidecar did not shut down in order: %v\n%s", err, process.Output())
	}
}
