package diskgate

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"unsafe"

	"golang.org/x/sys/unix"
)

// callNames are the system calls that a gate intercepts: those that change files or wait for the
// disk, except write(2), which a process uses for its log.
var callNames = map[int]string{
	unix.SYS_FSYNC: "fsync", unix.SYS_FDATASYNC: "fdatasync", unix.SYS_PWRITE64: "pwrite64", unix.SYS_FTRUNCATE: "ftruncate",
	unix.SYS_RENAMEAT: "renameat", unix.SYS_UNLINKAT: "unlinkat", unix.SYS_MKDIRAT: "mkdirat", unix.SYS_OPENAT: "openat",
}

// firstArgIsDescriptor has the calls whose first argument is the descriptor of the file.
var firstArgIsDescriptor = map[int]bool{unix.SYS_FSYNC: true, unix.SYS_FDATASYNC: true, unix.SYS_PWRITE64: true, unix.SYS_FTRUNCATE: true}

// InstallFilter installs a filter that reports the disk calls of this process to the gate of the test that
// started it. Without a gate it does nothing.
func InstallFilter() error {
	text := os.Getenv(socketEnvVariable)
	if text == "" {
		return nil
	}
	socket, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("disk gate: %w", err)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("disk gate: %w", err)
	}
	filter := callFilter()
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_TSYNC |
		unix.SECCOMP_FILTER_FLAG_TSYNC_ESRCH | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	listener, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("disk gate: seccomp: %w", errno)
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(int(listener)), nil, 0); err != nil {
		return fmt.Errorf("disk gate: %w", err)
	}
	_ = unix.Close(int(listener))
	_ = unix.Close(socket)
	return nil
}

// Offsets in struct seccomp_data on a little-endian machine.
const (
	syscallNumberOffset = 0
	openFlagsOffset     = 16 + 2*8 // the lower half of the third argument
)

// callFilter returns a filter that reports the calls in callNames. Calls of openat are reported only
// if they may create a file.
func callFilter() (filter []unix.SockFilter) {
	load := func(offset uint32) {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset})
	}
	ret := func(value uint32) {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: value})
	}
	jump := func(kind uint16, value uint32, skipIfFalse uint8) {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | kind | unix.BPF_K, K: value, Jf: skipIfFalse})
	}
	load(syscallNumberOffset)
	for number := range callNames {
		if number == unix.SYS_OPENAT {
			continue
		}
		jump(unix.BPF_JEQ, uint32(number), 1)
		ret(unix.SECCOMP_RET_USER_NOTIF)
	}
	jump(unix.BPF_JEQ, unix.SYS_OPENAT, 3)
	load(openFlagsOffset)
	jump(unix.BPF_JSET, unix.O_CREAT, 1)
	ret(unix.SECCOMP_RET_USER_NOTIF)
	ret(unix.SECCOMP_RET_ALLOW)
	return filter
}
