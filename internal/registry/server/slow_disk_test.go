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

// gatedReplica is a replica in its own process, whose disk calls a test can hold.
type gatedReplica struct {
	*process
	*diskgate.Gate
	log   lockedBuffer
	ended chan error // receives the exit error of the process once
}

// lockedBuffer collects the output of a running process.
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

// startGated starts a replica and holds its disk calls for which hold returns true.
func startGated(t testing.TB, config string, hold func(diskgate.Call) bool) *gatedReplica {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), configEnvVariable+"="+config)
	gate, err := diskgate.New(command, hold)
	if err != nil {
		t.Fatal(err)
	}
	r := &gatedReplica{process: &process{t: t, command: command}, Gate: gate, ended: make(chan error, 1)}
	command.Stdout, command.Stderr = &r.log, &r.log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { r.ended <- command.Wait() }() // returns when the process exits
	t.Cleanup(func() {
		r.killAndWait()
		if t.Failed() {
			t.Logf("output of the replica's process:\n%s", keepRelevantStacks(r.log.String()))
		}
	})
	if err := gate.Serve(command); err != nil {
		t.Fatal(err)
	}
	return r
}

// keepRelevantStacks removes goroutine stacks from a log, except those in system calls, Replica.Close or Run.
func keepRelevantStacks(log string) string {
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

// killAndWait kills the process and waits for its exit.
func (r *gatedReplica) killAndWait() {
	if r.command == nil {
		return
	}
	_ = r.command.Process.Kill() // fails if the process has already exited
	<-r.Gate.Ended()
	select {
	case <-r.ended:
	case <-time.After(eventTimeout):
		r.t.Error("the process has not exited after SIGKILL")
	}
	r.command = nil
}

// hasEnded reports whether the process has ended and makes no more disk calls.
func (r *gatedReplica) hasEnded() bool {
	select {
	case <-r.Gate.Ended():
		return true
	default:
		return false
	}
}

// awaitHeld waits until a disk call is held, and checks that it is not made by the main thread.
// The kernel delivers signals to the main thread, so SIGTERM would be delayed until the call
// returns.
func (r *gatedReplica) awaitHeld() diskgate.Call {
	r.t.Helper()
	eventually(r.t, "a disk call is held", func() bool { return len(r.Held()) > 0 })
	call := r.Held()[0]
	if call.Thread == r.command.Process.Pid {
		r.t.Errorf("the main thread makes a disk call: %v", call)
	}
	return call
}

// sendTerm sends SIGTERM to the process.
func (r *gatedReplica) sendTerm() {
	r.t.Helper()
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) { // callers check the exit
		r.t.Fatal(err)
	}
}

// checkShutdown checks that the process, which was sent SIGTERM, shuts down cleanly within the
// bound of docs/SHUTDOWN.md.
func (r *gatedReplica) checkShutdown(signaledAt time.Time) {
	r.t.Helper()
	select {
	case err := <-r.ended:
		r.command = nil
		r.t.Logf("ended %v after SIGTERM: %v", time.Since(signaledAt).Round(time.Millisecond), err)
		if err := faultinjection.CheckEnd(err, r.log.String()); err != nil {
			r.t.Errorf("shutdown of the replica: %v, want status 0 and no cut-off", err)
		}
	case <-time.After(time.Until(signaledAt.Add(totalShutdownTimeout + time.Second))): // 1 s for the exit
		r.t.Errorf("the replica has not ended %v after SIGTERM; held disk calls: %v; %s", totalShutdownTimeout+time.Second, r.Held(), r.signalState())
	}
}

// signalState describes whether SIGTERM was delivered. It stays pending in the kernel if the
// chosen thread is blocked in a disk call.
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

// hangFromSync holds all disk calls from the nth sync on, like a disk that hangs at that sync.
func hangFromSync(n int) func(diskgate.Call) bool {
	syncs := 0
	return func(c diskgate.Call) bool {
		if c.IsSync() {
			syncs++
		}
		return syncs >= n
	}
}

// countSyncs returns the number of syncs among disk calls.
func countSyncs(calls []diskgate.Call) (n int) {
	for _, c := range calls {
		if c.IsSync() {
			n++
		}
	}
	return n
}

// isReady reports whether a replica's readiness check succeeds.
func isReady(m registry.ReplicaInfo) bool {
	resp, err := http.Get("http://" + m.HTTP + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// acceptsConnections reports whether a process listens on an address.
func acceptsConnections(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// configWithMembership writes the configuration of a group of one replica that is a member of a fleet.
func configWithMembership(t *testing.T) (registry.ReplicaInfo, string) {
	t.Helper()
	m := newMembers(t, "r0")[0]
	gossip := newMembers(t, "gossip")[0]
	folder := t.TempDir()
	return m, writeConfig(t, singleReplica(m, filepath.Join(folder, "data"), map[string]any{
		"membership": map[string]any{"fleet": "test", "listen": gossip.HTTP, "folder": filepath.Join(folder, "members")},
	}))
}

// startupDiskCalls returns the disk calls that a replica makes until it is ready.
func startupDiskCalls(t *testing.T, m registry.ReplicaInfo, config string) []diskgate.Call {
	t.Helper()
	r := startGated(t, config, nil)
	eventually(t, "the replica is ready", func() bool { return isReady(m) })
	calls := r.Calls()
	r.sendTerm()
	r.checkShutdown(time.Now())
	return calls
}

// gatedGroup is a group of three replicas whose disk calls a test can hold.
type gatedGroup struct {
	processGroup
	replicas map[string]*gatedReplica // by id
	configs  map[string]string        // configuration paths by id
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

// start starts the replica with an id, without holding its disk calls.
func (g *gatedGroup) start(id string) {
	g.t.Helper()
	g.replicas[id] = startGated(g.t, g.configs[id], nil)
	g.processes[id] = g.replicas[id].process
}

// isSync reports whether a disk call is a sync.
func isSync(c diskgate.Call) bool { return c.IsSync() }
