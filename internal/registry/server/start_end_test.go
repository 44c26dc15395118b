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

// A replica that is told to end while it starts, and whose disk hangs at any sync of the start,
// ends in time: of the first start on an empty folder, and of a later one.
func TestEndWhileTheDiskHangsInTheStart(t *testing.T) {
	for _, start := range []string{"first", "later"} {
		m, config := replicaWithMembership(t)
		calls := startCalls(t, m, config)
		if start == "later" {
			calls = startCalls(t, m, config)
		}
		for n := 1; n <= countSyncs(calls); n++ {
			t.Run(fmt.Sprintf("%s/sync%d", start, n), func(t *testing.T) {
				t.Parallel()
				m, config := replicaWithMembership(t)
				if start == "later" {
					startCalls(t, m, config)
				}
				r := startGated(t, config, hangFrom(n))
				call := r.awaitHeld()
				t.Logf("the disk hangs at %v", call)
				told := time.Now()
				r.sendTerm()
				r.endsInTime(told)
				r.killAndWait()
				again := startGated(t, config, nil)
				eventually(t, "the replica is ready on the folder that was left, or has ended", func() bool { return isReady(m) || again.hasEnded() })
				again.sendTerm()
				again.endsInTime(time.Now())
			})
		}
	}
}

// makePipe puts a pipe in the place of a file, on which whoever reads the file waits for ever.
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

// awaitReader waits until somebody reads a pipe, and holds it open until the test ends.
func awaitReader(t *testing.T, pipe string) {
	t.Helper()
	var writer *os.File
	eventually(t, "the replica reads the pipe", func() bool {
		var err error
		writer, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0) // it fails without a reader
		return err == nil
	})
	t.Cleanup(func() { writer.Close() })
}

// makeSnapshot makes a replica's folder, with a snapshot in it.
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

// A replica that is told to end while a read of its start does not return ends in time: of the
// configuration, of the folder's identity, of a snapshot that Raft restores, of the members' cache.
func TestEndWhileAReadHangsInTheStart(t *testing.T) {
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
			_, path := replicaWithMembership(t)
			c, err := LoadConfig(path)
			if err != nil {
				t.Fatal(err)
			}
			makeSnapshot(t, c)
			pipe := file(t, c, path)
			makePipe(t, pipe)
			r := startGated(t, path, nil)
			awaitReader(t, pipe)
			told := time.Now()
			r.sendTerm()
			r.endsInTime(told)
		})
	}
}

// A replica that is killed at any disk call of its first start starts again on the folder that
// is left, and takes part.
func TestStartAfterAKillInTheFirstStart(t *testing.T) {
	m, config := replicaWithMembership(t)
	for _, call := range startCalls(t, m, config) {
		t.Run(fmt.Sprintf("call%d", call.Number), func(t *testing.T) {
			t.Parallel()
			m, config := replicaWithMembership(t)
			r := startGated(t, config, func(c diskgate.Call) bool { return c.Number >= call.Number })
			t.Logf("killed before %v", r.awaitHeld())
			r.killAndWait()
			again := startGated(t, config, nil)
			eventually(t, "the replica is ready, or has ended", func() bool { return isReady(m) || again.hasEnded() })
			again.sendTerm()
			again.endsInTime(time.Now())
		})
	}
}

// A replica that is told to end while it reads its configuration again, which does not return, ends
// in time.
func TestEndWhileTheConfigurationIsReadAgain(t *testing.T) {
	t.Parallel()
	m, config := replicaWithMembership(t)
	r := startGated(t, config, nil)
	awaitReady(t, m)
	makePipe(t, config)
	if err := r.command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	awaitReader(t, config)
	told := time.Now()
	r.sendTerm()
	r.endsInTime(told)
}

// A start that was given up does not go on to run Raft, in a process that runs other things.
func TestAbandonedStartRunsNoRaft(t *testing.T) {
	m, config := replicaWithMembership(t)
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
	pipe, err := os.OpenFile(config, os.O_WRONLY, 0) // returns when the replica reads
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
		if listens(m.Raft) {
			t.Fatal("a replica listens for others, after Run has returned without an error; nobody can end it")
		}
	}
}
