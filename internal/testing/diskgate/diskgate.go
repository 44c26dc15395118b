// Package diskgate holds the disk calls of a process that a test has started: a sync, a write
// or a rename does not return until the test lets it go. It is a disk that hangs, as far as one
// process can tell, and shows every order of events without load and without a slow disk.
//
// The process hands its disk calls over itself (Enter) by seccomp's user notifications, which
// need no privilege. As on a disk that hangs, the thread that makes a held call takes no signal
// but SIGKILL.
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

// socketVariable names the descriptor over which a process hands its disk calls to the test.
const socketVariable = "BARLEYWICK_DISK_GATE"

// Call is a disk call of the process.
type Call struct {
	Number int       // of the process's disk calls, from 1
	Name   string    // fdatasync, for example
	Path   string    // of the file; empty for calls that take a path themselves
	Thread int       // that makes it
	At     time.Time // when it began
}

// IsSync reports whether the call waits until data is on disk.
func (c Call) IsSync() bool { return c.Name == "fsync" || c.Name == "fdatasync" }

func (c Call) String() string { return fmt.Sprintf("%d: %s %s", c.Number, c.Name, c.Path) }

// Gate is where the disk calls of one process pass.
type Gate struct {
	ours, theirs int // sockets

	mu    sync.Mutex
	hold  func(Call) bool // nil: none is held
	calls []Call
	held  map[uint64]Call // by the notification's id

	listener int
	ended    chan struct{} // closed when the process makes no more calls
}

// New makes a gate for a command that is not started yet. Calls for which hold is true are held;
// nil: none is.
func New(command *exec.Cmd, hold func(Call) bool) (*Gate, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("disk gate: %w", err)
	}
	g := &Gate{ours: pair[0], theirs: pair[1], hold: hold, held: make(map[uint64]Call), ended: make(chan struct{})}
	const firstExtra = 3 // descriptor of the first of ExtraFiles
	if command.Env == nil {
		command.Env = os.Environ()
	}
	command.Env = append(command.Env, fmt.Sprint(socketVariable, "=", firstExtra+len(command.ExtraFiles)))
	command.ExtraFiles = append(command.ExtraFiles, os.NewFile(uintptr(g.theirs), "disk gate"))
	return g, nil
}

// Serve takes over the calls of the command, which has been started with the gate's environment.
// It returns once the process has entered the gate.
func (g *Gate) Serve(command *exec.Cmd) error {
	if err := command.ExtraFiles[len(command.ExtraFiles)-1].Close(); err != nil {
		return fmt.Errorf("disk gate: %w", err)
	}
	defer unix.Close(g.ours)
	control := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(g.ours, make([]byte, 1), control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return fmt.Errorf("disk gate: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) != 1 {
		return fmt.Errorf("disk gate: the process has not entered it: %d messages, %w", len(messages), err)
	}
	rights, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(rights) != 1 {
		return fmt.Errorf("disk gate: %d descriptors: %w", len(rights), err)
	}
	g.listener = rights[0]
	go g.run() // ends with the process
	return nil
}

// Hold has calls held from now on: those for which hold is true. Held ones stay so.
func (g *Gate) Hold(hold func(Call) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hold = hold
}

// Release lets all held calls go, and holds no others.
func (g *Gate) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hold = nil
	g.releaseHeld()
}

// ReleaseHeld lets the calls go that are held now. Later ones are held as before.
func (g *Gate) ReleaseHeld() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseHeld()
}

// ReleaseOlder lets the calls go that have been held for as long as age.
func (g *Gate) ReleaseOlder(age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, call := range g.held {
		if time.Since(call.At) >= age {
			g.letGo(id)
			delete(g.held, id)
		}
	}
}

func (g *Gate) releaseHeld() {
	for id := range g.held {
		g.letGo(id)
	}
	clear(g.held)
}

// Held returns the calls that are held.
func (g *Gate) Held() (held []Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, call := range g.held {
		held = append(held, call)
	}
	return held
}

// Calls returns all calls that the process has begun, held or not.
func (g *Gate) Calls() []Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Call(nil), g.calls...)
}

// Ended is closed when the process has ended.
func (g *Gate) Ended() <-chan struct{} { return g.ended }

// run takes the process's calls until it has ended.
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
			continue // the thread has been killed, or the call was interrupted
		}
		g.take(n)
	}
}

// take holds a call or lets it go.
func (g *Gate) take(n notification) {
	call := Call{Name: callNames[int(n.number)], Thread: int(n.thread), At: time.Now()}
	if takesDescriptor[int(n.number)] {
		call.Path, _ = os.Readlink("/proc/" + strconv.Itoa(call.Thread) + "/fd/" + strconv.FormatUint(n.arguments[0], 10)) // gone with the process
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	call.Number = len(g.calls) + 1
	g.calls = append(g.calls, call)
	if g.hold != nil && g.hold(call) {
		g.held[n.id] = call
		return
	}
	g.letGo(n.id)
}

// letGo has the kernel make a call.
func (g *Gate) letGo(id uint64) {
	answer := response{id: id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	_, _, _ = unix.Syscall(unix.SYS_IOCTL, uintptr(g.listener), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&answer))) // it fails if the process has ended
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
