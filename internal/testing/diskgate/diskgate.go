// Package diskgate blocks disk calls of a process that a test has started: a sync, a write or a
// rename does not return until the test releases it. To the process it looks like a hung disk. Tests
// can produce any order of events this way, without load and without a slow disk.
//
// The process itself installs a seccomp filter (InstallFilter) whose user notifications report
// its disk calls to the test. This needs no privilege. As with a hung disk, a thread in a held call handles
// no signal but SIGKILL.
package diskgate

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// socketEnvVariable is the environment variable with the number of the socket descriptor over which the
// process sends its seccomp listener to the test.
const socketEnvVariable = "BARLEYWICK_DISK_GATE"

// Call is a disk-related system call of the process.
type Call struct {
	Number int       // sequence number among the process's disk calls, from 1
	Name   string    // of the system call, for instance fdatasync
	Path   string    // of the file; empty for calls whose argument is a path
	Thread int       // id of the calling thread
	At     time.Time // when the call was received
}

// IsSync reports whether the call flushes data to disk.
func (c Call) IsSync() bool { return c.Name == "fsync" || c.Name == "fdatasync" }

func (c Call) String() string { return fmt.Sprintf("%d: %s %s", c.Number, c.Name, c.Path) }

// Gate intercepts the disk calls of one process.
type Gate struct {
	testSocket, processSocket int // the two ends of a socket pair

	mu    sync.Mutex
	hold  func(Call) bool // nil: no call is held
	calls []Call
	held  map[uint64]Call // by notification id

	listener int
	ended    chan struct{} // closed when the process has ended
}

// New returns a gate for a command that has not been started yet. It holds the calls for which hold
// returns true; if hold is nil, it holds none.
func New(command *exec.Cmd, hold func(Call) bool) (*Gate, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("disk gate: %w", err)
	}
	g := &Gate{testSocket: pair[0], processSocket: pair[1], hold: hold, held: make(map[uint64]Call), ended: make(chan struct{})}
	const firstExtraFD = 3 // descriptor of the first of ExtraFiles
	if command.Env == nil {
		command.Env = os.Environ()
	}
	command.Env = append(command.Env, fmt.Sprint(socketEnvVariable, "=", firstExtraFD+len(command.ExtraFiles)))
	command.ExtraFiles = append(command.ExtraFiles, os.NewFile(uintptr(g.processSocket), "disk gate"))
	return g, nil
}

// Serve starts to intercept the calls of the command, which must have been started after New. It
// returns once the process has called InstallFilter.
func (g *Gate) Serve(command *exec.Cmd) error {
	if err := command.ExtraFiles[len(command.ExtraFiles)-1].Close(); err != nil {
		return fmt.Errorf("disk gate: %w", err)
	}
	defer unix.Close(g.testSocket)
	control := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(g.testSocket, make([]byte, 1), control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return fmt.Errorf("disk gate: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) != 1 {
		return fmt.Errorf("disk gate: got %d control messages from the process, want 1: %w", len(messages), err)
	}
	rights, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(rights) != 1 {
		return fmt.Errorf("disk gate: got %d descriptors from the process, want 1: %w", len(rights), err)
	}
	g.listener = rights[0]
	go g.run() // ends with the process
	return nil
}

// Hold sets which calls are held from now on: those for which hold returns true. Calls that are held
// already stay held.
func (g *Gate) Hold(hold func(Call) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hold = hold
}

// Release continues all held calls and holds no further ones.
func (g *Gate) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hold = nil
	g.releaseHeld()
}

// ReleaseHeld continues the calls that are held now. Later calls are held as before.
func (g *Gate) ReleaseHeld() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseHeld()
}

// ReleaseOlder continues the calls that have been held for at least age.
func (g *Gate) ReleaseOlder(age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, call := range g.held {
		if time.Since(call.At) >= age {
			g.continueCall(id)
			delete(g.held, id)
		}
	}
}

func (g *Gate) releaseHeld() {
	for id := range g.held {
		g.continueCall(id)
	}
	clear(g.held)
}

// Held returns the calls that are held, in no particular order.
func (g *Gate) Held() (held []Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, call := range g.held {
		held = append(held, call)
	}
	return held
}

// Calls returns all calls of the process so far, held or not, in their order.
func (g *Gate) Calls() []Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Call(nil), g.calls...)
}

// Ended returns a channel that is closed when the process has ended.
func (g *Gate) Ended() <-chan struct{} { return g.ended }

// run receives the notifications of the process's calls until the process has ended.
func (g *Gate) run() {
	defer close(g.ended)
	defer unix.Close(g.listener)
	for {
		events := []unix.PollFd{{Fd: int32(g.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(events, -1); err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
		if events[0].Revents&unix.POLLIN == 0 {
			if events[0].Revents != 0 {
				return
			}
			continue
		}
		var n notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(g.listener), unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the thread was killed, or the call was interrupted
		}
		g.handle(n)
	}
}

// handle holds a call or continues it.
func (g *Gate) handle(n notification) {
	call := Call{Name: callNames[int(n.number)], Thread: int(n.thread), At: time.Now()}
	if firstArgIsDescriptor[int(n.number)] {
		call.Path, _ = os.Readlink("/proc/" + strconv.Itoa(call.Thread) + "/fd/" + strconv.FormatUint(n.arguments[0], 10)) // fails if the process has ended
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	call.Number = len(g.calls) + 1
	g.calls = append(g.calls, call)
	if g.hold != nil && g.hold(call) {
		g.held[n.id] = call
		return
	}
	g.continueCall(n.id)
}

// continueCall lets the kernel execute a call.
func (g *Gate) continueCall(id uint64) {
	answer := response{id: id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	_, _, _ = unix.Syscall(unix.SYS_IOCTL, uintptr(g.listener), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&answer))) // fails if the process has ended
}

// notification is struct seccomp_notif.
type notification struct {
	id            uint64
	thread, flags uint32
	number        int32
	architecture  uint32
	instruction   uint64
	arguments     [6]uint64
}

// response is struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}
