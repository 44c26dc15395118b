package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/testing/faultinjection"
)

// A sidecar that is told to end while a read of the members' cache or of the stored policy hangs, as a
// dead disk's does, ends in order within its bound.
func TestEndWhileAFolderIsRead(t *testing.T) {
	const bound = 15 * time.Second // 13.45 s by docs/SHUTDOWN.md
	for name, x := range map[string]struct {
		file  string
		table map[string]any
	}{
		"membership": {"members-n0.json", map[string]any{"fleet": "t", "listen": freeAddr(t), "folder": t.TempDir()}},
		"policy":     {"policy.json", map[string]any{"registry": []string{"127.0.0.1:1"}, "folder": t.TempDir()}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pipe := filepath.Join(x.table["folder"].(string), x.file)
			if err := syscall.Mkfifo(pipe, 0o600); err != nil {
				t.Fatal(err)
			}
			text, err := json.Marshal(map[string]any{
				"name": "n0", "listen": freeAddr(t), "discovery": "127.0.0.1:1", "seed": "ff", name: x.table,
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
			defer process.Kill()
			var writer *os.File
			for deadline := time.Now().Add(20 * time.Second); writer == nil || !strings.Contains(process.Output(), "msg=serving"); time.Sleep(time.Millisecond) {
				if writer == nil {
					if writer, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil { // it fails without a reader
						defer writer.Close()
					} else {
						writer = nil
					}
				}
				if time.Now().After(deadline) {
					t.Fatalf("it does not come so far (reader %v):\n%s", writer != nil, process.Output())
				}
			}
			begun := time.Now()
			err = process.Terminate(bound)
			t.Logf("ended after %v", time.Since(begun).Round(time.Millisecond))
			if err != nil {
				t.Errorf("it did not end in order: %v", err)
			}
		})
	}
}
