package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A sidecar that is told to end while a read of the members' cache or of the stored policy hangs, as a
// dead disk's does, ends in order within its bound.
func TestEndWhileAFolderIsRead(t *testing.T) {
	const bound = 12 * time.Second // 11.45 s by docs/SHUTDOWN.md, and the exit
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
			process := startSidecar(t, "127.0.0.1:1", name, x.table)
			var writer *os.File
			for deadline := time.Now().Add(20 * time.Second); writer == nil || !strings.Contains(process.Output(), "msg=serving"); time.Sleep(time.Millisecond) {
				if writer == nil {
					if opened, err := os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil { // it fails without a reader
						writer = opened
						defer writer.Close()
					}
				}
				if time.Now().After(deadline) {
					t.Fatalf("it does not come so far (reader %v):\n%s", writer != nil, process.Output())
				}
			}
			begun := time.Now()
			err := process.Terminate(bound)
			t.Logf("ended after %v", time.Since(begun).Round(time.Millisecond))
			if err != nil {
				t.Errorf("it did not end in order: %v", err)
			}
		})
	}
}
