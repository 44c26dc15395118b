package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loopback"
)

// SIGTERM while a read of the members' cache hangs, as on a failed disk: the controller shuts down in order
// within its shutdown timeout.
func TestShutdownWhileMembersCacheReadHangs(t *testing.T) {
	folder := t.TempDir()
	path, pipe := filepath.Join(folder, "k1.toml"), filepath.Join(folder, "members-k1.json")
	listen, err := loopback.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("name = \"k1\"\nregistry = [\"127.0.0.1:1\"]\nlisten = \"127.0.0.1:0\"\n[health]\n[membership]\nfleet = \"t\"\nlisten = %q\nfolder = %q\n", listen, folder)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	process := &faultinjection.Process{Name: "controller", NewCommand: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), roleVariable+"=controller", "CONTROLLER_CONFIG="+path)
		return cmd
	}}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	defer process.Kill()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		writer, err := os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0) // fails while there is no reader
		if err == nil {
			defer writer.Close()
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the controller does not read the members' cache:\n%s", process.Output())
		}
	}
	began := time.Now()
	err = process.Terminate(shutdownTimeout + 2*time.Second)
	t.Logf("ended after %v", time.Since(began).Round(time.Millisecond))
	if err != nil {
		t.Errorf("the controller did not shut down in order: %v", err)
	}
}
