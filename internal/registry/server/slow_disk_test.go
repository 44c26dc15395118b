package server

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/diskgate"
	"barleywick/internal/testing/faultinjection"
)

// gatedReplica is a replica that runs as a process of its own, whose disk calls a test holds.
type gatedReplica struct {
	*process
	*diskgate.Gate
	log   lockedBuffer
	ended chan error // receives the process's exit once
}

// lockedBuffer holds what a process writes while it runs.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startGated starts a replica whose calls are held for which hold is true.
func startGated(t testing.TB, config string, hold func(diskgate.Call) bool) *gatedReplica {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), processVariable+"="+config)
	gate, err := diskgate.New(command, hold)
	if err != nil {
		t.Fatal(err)
	}
	r := &gatedReplica{process: &process{t: t, command: command}, Gate: gate, ended: make(chan error, 1)}
	command.Stdout, command.Stderr = &r.log, &r.log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { r.ended <- command.Wait() }() // ends with the process
	t.Cleanup(func() {
		r.killAndWait()
		if t.Failed() {
			t.Logf("the replica's process wrote:\n%s", withoutStacks(r.log.String()))
		}
	})
	if err := gate.Serve(command); err != nil {
		t.Fatal(err)
	}
	return r
}

// withoutStacks shortens a log that holds the stacks of all goroutines: those of calls to the disk stay.
func withoutStacks(log string) string {
	head, stacks, found := strings.Cut(log, "\ngoroutine ")
	if !found {
		return log
	}
	for _, stack := range strings.Split("goroutine "+stacks, "\n\n") {
		if strings.Contains(stack, "syscall.Syscall") || strings.Contains(stack, "server.(*Replica).Close") || strings.Contains(stack, "server.Run") {
			head += "\n" + stack + "\n"
		}
	}
	return head
}

// killAndWait ends the process without a warning.
func (r *gatedReplica) killAndWait() {
	if r.command == nil {
		return
	}
	_ = r.command.Process.Kill() // it fails if the process has ended
	<-r.Gate.Ended()
	select {
	case <-r.ended:
	case <-time.After(patience):
		r.t.Error("the process does not end")
	}
	r.command = nil
}

// hasEnded reports whether the process makes no more calls.
func (r *gatedReplica) hasEnded() bool {
	select {
	case <-r.Gate.Ended():
		return true
	default:
		return false
	}
}

// awaitHeld waits until a call is held. It must not be one of the main thread, which the kernel
// picks for a signal to the process: SIGTERM would not be heard until the call has returned.
func (r *gatedReplica) awaitHeld() diskgate.Call {
	r.t.Helper()
	eventually(r.t, "a call of the disk is held", func() bool { return len(r.Held()) > 0 })
	call := r.Held()[0]
	if call.Thread == r.command.Process.Pid {
		r.t.Errorf("the main thread makes a call of the disk: %v", call)
	}
	return call
}

// sendTerm tells the process to end.
func (r *gatedReplica) sendTerm() {
	r.t.Helper()
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) { // its exit is checked
		r.t.Fatal(err)
	}
}

// endsInTime checks that the process, which has been told to, ends in order within the bound of
// docs/SHUTDOWN.md.
func (r *gatedReplica) endsInTime(told time.Time) {
	r.t.Helper()
	select {
	case err := <-r.ended:
		r.command = nil
		r.t.Logf("ended %v after SIGTERM: %v", time.Since(told).Round(time.Millisecond), err)
		if err := faultinjection.CheckEnd(err, r.log.String()); err != nil {
			r.t.Errorf("the replica's end: %v, want status 0 and no cut-off", err)
		}
	case <-time.After(time.Until(told.Add(endBound + time.Second))): // a second for the exit
		r.t.Errorf("the replica has not ended %v after SIGTERM; held: %v; %s", endBound+time.Second, r.Held(), r.signalState())
	}
}

// signalState tells whether SIGTERM was taken: it waits in the kernel if that has picked a thread
// for it which is in a call of the disk.
func (r *gatedReplica) signalState() string {
	pid := r.command.Process.Pid
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err.Error()
	}
	_, pending, _ := strings.Cut(string(text), "ShdPnd:")
	pending, _, _ = strings.Cut(strings.TrimSpace(pending), "\n")
	signals, err := strconv.ParseUint(pending, 16, 64)
	if err != nil {
		return err.Error()
	}
	inMain := slices.ContainsFunc(r.Held(), func(c diskgate.Call) bool { return c.Thread == pid })
	return fmt.Sprintf("SIGTERM still pending: %v, main thread held: %v", signals&(1<<(syscall.SIGTERM-1)) != 0, inMain)
}

// hangFrom holds all disk calls from the nth sync on, as a disk does that hangs at this sync.
func hangFrom(n int) func(diskgate.Call) bool {
	syncs := 0
	return func(c diskgate.Call) bool {
		if c.IsSync() {
			syncs++
		}
		return syncs >= n
	}
}

// countSyncs returns how many of some calls are syncs.
func countSyncs(calls []diskgate.Call) (n int) {
	for _, c := range calls {
		if c.IsSync() {
			n++
		}
	}
	return n
}

// isReady reports whether a replica answers that it is ready.
func isReady(m registry.ReplicaInfo) bool {
	resp, err := http.Get("http://" + m.HTTP + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// listens reports whether somebody listens at an address.
func listens(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// replicaWithMembership is the configuration of a group of one that is a member of a fleet.
func replicaWithMembership(t *testing.T) (registry.ReplicaInfo, string) {
	t.Helper()
	m := newMembers(t, "r0")[0]
	gossip := newMembers(t, "gossip")[0]
	folder := t.TempDir()
	return m, writeConfig(t, singleReplica(m, filepath.Join(folder, "data"), map[string]any{
		"membership": map[string]any{"fleet": "test", "listen": gossip.HTTP, "folder": filepath.Join(folder, "members")},
	}))
}

// startCalls returns the disk calls that a replica makes until it is ready.
func startCalls(t *testing.T, m registry.ReplicaInfo, config string) []diskgate.Call {
	t.Helper()
	r := startGated(t, config, nil)
	eventually(t, "the replica is ready", func() bool { return isReady(m) })
	calls := r.Calls()
	r.sendTerm()
	r.endsInTime(time.Now())
	return calls
}

// gatedGroup is a group of three replicas whose disk calls a test holds.
type gatedGroup struct {
	processGroup
	replicas map[string]*gatedReplica // by id
	configs  map[string]string        // paths
}

func startGatedGroup(t *testing.T) *gatedGroup {
	t.Helper()
	members := newMembers(t, "r0", "r1", "r2")
	g := &gatedGroup{processGroup{t, members, make(map[string]*process)}, make(map[string]*gatedReplica), make(map[string]string)}
	for _, m := range members {
		g.configs[m.ID] = writeConfig(t, map[string]any{
			"group": "test", "id": m.ID, "data": filepath.Join(t.TempDir(), "data"), "replicas": members, "timing": map[string]any{"election_ms": 200},
		})
		g.start(m.ID)
	}
	for _, m := range members {
		awaitReady(t, m)
	}
	return g
}

// start starts a replica.
func (g *gatedGroup) start(id string) {
	g.t.Helper()
	g.replicas[id] = startGated(g.t, g.configs[id], nil)
	g.processes[id] = g.replicas[id].process
}

// syncs holds the syncs.
func syncs(c diskgate.Call) bool { return c.IsSync() }
