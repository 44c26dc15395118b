package server

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/testing/diskgate"
)

// A replica that receives SIGTERM during startup shuts down within the bound, whichever sync of the
// startup hangs. Covers the first start on an empty folder and a later start.
func TestShutdownWhileDiskHangsDuringStartup(t *testing.T) {
	for _, start := range []string{"first", "later"} {
		m, config := configWithMembership(t)
		calls := startupDiskCalls(t, m, config)
		if start == "later" {
			calls = startupDiskCalls(t, m, config)
		}
		for n := 1; n <= countSyncs(calls); n++ {
			t.Run(fmt.Sprintf("%s/sync%d", start, n), func(t *testing.T) {
				t.Parallel()
				m, config := configWithMembership(t)
				if start == "later" {
					startupDiskCalls(t, m, config)
				}
				r := startGated(t, config, hangFromSync(n))
				call := r.awaitHeld()
				t.Logf("the disk hangs at %v", call)
				signaledAt := time.Now()
				r.sendTerm()
				r.checkShutdown(signaledAt)
				r.killAndWait()
				again := startGated(t, config, nil)
				eventually(t, "the replica is ready on the remaining data folder, or has ended", func() bool { return isReady(m) || again.hasEnded() })
				again.sendTerm()
				again.checkShutdown(time.Now())
			})
		}
	}
}

// makePipe replaces a file with a named pipe, so that reading the file blocks.
func makePipe(t *testing.T, path string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
}

// awaitReader waits until a process reads the pipe, and keeps the pipe open until the test ends.
func awaitReader(t *testing.T, pipe string) {
	t.Helper()
	var writer *os.File
	eventually(t, "the replica reads the pipe", func() bool {
		var err error
		writer, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0) // fails without a reader
		return err == nil
	})
	t.Cleanup(func() { writer.Close() })
}

// makeSnapshot creates a replica's data folder with a snapshot in it.
func makeSnapshot(t *testing.T, c *Config) {
	t.Helper()
	n := &node{t: t, config: c, member: c.Self()}
	n.start()
	defer n.stop()
	eventually(t, "the replica is ready", func() bool { return n.ready.Load() })
	if err := n.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
}

// A replica shuts down within the bound while a read during startup hangs: of the configuration,
// the identity file, a snapshot that Raft restores, or the member cache.
func TestShutdownWhileReadHangsDuringStartup(t *testing.T) {
	for name, file := range map[string]func(t *testing.T, c *Config, path string) string{
		"configuration": func(_ *testing.T, _ *Config, path string) string { return path },
		"storage":       func(_ *testing.T, c *Config, _ string) string { return filepath.Join(c.DataDir, identityFile) },
		"raft": func(t *testing.T, c *Config, _ string) string {
			found, err := filepath.Glob(filepath.Join(c.DataDir, "snapshots", "*", "state.bin"))
			if err != nil || len(found) != 1 {
				t.Fatalf("got %v, error %v, want one snapshot", found, err)
			}
			return found[0]
		},
		"membership": func(_ *testing.T, c *Config, _ string) string {
			return filepath.Join(c.Membership.StateDir, "members-"+memberName(c.Group, c.ID)+".json")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, path := configWithMembership(t)
			c, err := LoadConfig(path)
			if err != nil {
				t.Fatal(err)
			}
			makeSnapshot(t, c)
			pipe := file(t, c, path)
			makePipe(t, pipe)
			r := startGated(t, path, nil)
			awaitReader(t, pipe)
			signaledAt := time.Now()
			r.sendTerm()
			r.checkShutdown(signaledAt)
		})
	}
}

// A replica that was killed at any disk call of its first start starts again on the remaining data
// folder and becomes ready.
func TestRestartAfterKillDuringFirstStart(t *testing.T) {
	m, config := configWithMembership(t)
	for _, call := range startupDiskCalls(t, m, config) {
		t.Run(fmt.Sprintf("call%d", call.Number), func(t *testing.T) {
			t.Parallel()
			m, config := configWithMembership(t)
			r := startGated(t, config, func(c diskgate.Call) bool { return c.Number >= call.Number })
			t.Logf("killed before %v", r.awaitHeld())
			r.killAndWait()
			again := startGated(t, config, nil)
			eventually(t, "the replica is ready, or has ended", func() bool { return isReady(m) || again.hasEnded() })
			again.sendTerm()
			again.checkShutdown(time.Now())
		})
	}
}

// A replica shuts down within the bound while a reload of its configuration hangs.
func TestShutdownWhileConfigReloadHangs(t *testing.T) {
	t.Parallel()
	m, config := configWithMembership(t)
	r := startGated(t, config, nil)
	awaitReady(t, m)
	makePipe(t, config)
	if err := r.command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	awaitReader(t, config)
	signaledAt := time.Now()
	r.sendTerm()
	r.checkShutdown(signaledAt)
}

// After Run has returned because its start was aborted, the start does not go on to run Raft: a process
// that runs other things could not stop it.
func TestAbandonedStartRunsNoRaft(t *testing.T) {
	m, config := configWithMembership(t)
	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(config); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(config, 0o600); err != nil {
		t.Fatal(err)
	}
	stop, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(stop, nil, config) }()
	pipe, err := os.OpenFile(config, os.O_WRONLY, 0) // returns when the replica opens the file
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.Write(text); err != nil && !errors.Is(err, syscall.EPIPE) {
		t.Fatal(err)
	}
	pipe.Close()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if acceptsConnections(m.Raft) {
			t.Fatal("the Raft address accepts connections after Run has returned, want no replica left running")
		}
	}
}
