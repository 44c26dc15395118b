package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// SIGTERM while a read of the members' cache or of the stored policy hangs, as on a failed disk: the sidecar
// shuts down in order within its bound.
func TestShutdownWhileStoredFileReadHangs(t *testing.T) {
	const bound = 12 * time.Second // 11.45 s according to docs/SHUTDOWN.md, and the exit
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
					if opened, err := os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil { // fails while there is no reader
						writer = opened
						defer writer.Close()
					}
				}
				if time.Now().After(deadline) {
					t.Fatalf("the sidecar does not read the file and serve (reads the file: %v):\n%s", writer != nil, process.Output())
				}
			}
			began := time.Now()
			err := process.Terminate(bound)
			t.Logf("ended after %v", time.Since(began).Round(time.Millisecond))
			if err != nil {
				t.Errorf("the sidecar did not shut down in order: %v", err)
			}
		})
	}
}
