package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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

// listenSilently returns the address of a listener that accepts connections and never sends anything.
func listenSilently(t *testing.T, network, address string) string {
	t.Helper()
	ln, err := net.Listen(network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			if _, err := ln.Accept(); err != nil {
				return
			}
		}
	}()
	return ln.Addr().String()
}

func freeAddr(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startSidecar runs a sidecar until the test ends. Its configuration has the given table under key.
func startSidecar(t *testing.T, discovery, key string, table any) *faultinjection.Process {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": freeAddr(t), "discovery": discovery, "seed": "ff", key: table,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
		"settings": json.RawMessage(`{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	process := &faultinjection.Process{Name: "sidecar", NewCommand: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0], "--log-level", "debug")
		cmd.Env = append(os.Environ(), "BARLEYWICK_RUN_MAIN=1", "ROUTER_CONFIG="+path)
		return cmd
	}}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	return process
}

// SIGTERM while a sidecar starts and waits for a process that does not answer: it shuts down in order within
// the bound, without waiting for the answer.
func TestShutdownWhileStarting(t *testing.T) {
	// The shutdown timeout is 11.5 s here. The phases take 0.6 s, then leaving the roster takes at most
	// 2.5 s, and leaving the fleet 4 s on a slow disk. The waits at the start take 2 to 60 s.
	const bound = 10 * time.Second
	silent := listenSilently(t, "tcp", "127.0.0.1:0")
	var seeds []string
	for range 8 {
		seeds = append(seeds, listenSilently(t, "tcp", "127.0.0.1:0"))
	}
	socket := listenSilently(t, "unix", filepath.Join(t.TempDir(), "takeover.sock"))
	for name, x := range map[string]struct {
		table any
		key   string
		until string // the log contains it when SIGTERM is sent; empty: when a socket is open
	}{
		"members do not answer":       {map[string]any{"fleet": "t", "listen": freeAddr(t), "seeds": seeds, "folder": t.TempDir()}, "membership", "msg=serving"},
		"member address in use":       {map[string]any{"fleet": "t", "listen": silent}, "membership", "not a member yet"},
		"registry does not answer":    {map[string]any{"registry": []string{silent}, "folder": t.TempDir()}, "policy", "msg=serving"},
		"predecessor does not answer": {map[string]any{"socket": socket, "ready_ms": 60000}, "takeover", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			process := startSidecar(t, silent, x.key, x.table)
			for deadline := time.Now().Add(20 * time.Second); !strings.Contains(process.Output(), x.until) || !holdsSocket(process.PID(), x.until == ""); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("the sidecar does not reach the state in which SIGTERM is sent:\n%s", process.Output())
				}
			}
			began := time.Now()
			err := process.Terminate(bound)
			t.Logf("ended after %v", time.Since(began).Round(time.Millisecond))
			if err != nil {
				t.Errorf("the sidecar did not shut down in order: %v\n%s", err, process.Output())
			}
		})
	}
}

// holdsSocket reports whether a process has a socket open. It returns true if none is required.
func holdsSocket(pid int, required bool) bool {
	if !required {
		return true
	}
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			return true
		}
	}
	return false
}
