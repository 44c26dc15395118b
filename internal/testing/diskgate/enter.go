package diskgate

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"unsafe"

	"golang.org/x/sys/unix"
)

// callNames are the calls that pass a gate: those that change files or wait for the disk, but
// write(2), by which a process logs.
var callNames = map[int]string{
	unix.SYS_FSYNC: "fsync", unix.SYS_FDATASYNC: "fdatasync", unix.SYS_PWRITE64: "pwrite64", unix.SYS_FTRUNCATE: "ftruncate",
	unix.SYS_RENAMEAT: "renameat", unix.SYS_UNLINKAT: "unlinkat", unix.SYS_MKDIRAT: "mkdirat", unix.SYS_OPENAT: "openat",
}

// takesDescriptor are the calls whose first argument is the file's descriptor.
var takesDescriptor = map[int]bool{unix.SYS_FSYNC: true, unix.SYS_FDATASYNC: true, unix.SYS_PWRITE64: true, unix.SYS_FTRUNCATE: true}

// Enter hands the disk calls of this process to the test that has started it through a gate. A
// process without one goes on as it is.
func Enter() error {
	text := os.Getenv(socketVariable)
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

// Offsets in struct seccomp_data, of a little-endian machine.
const (
	numberOffset    = 0
	openFlagsOffset = 16 + 2*8 // the third argument's lower half
)

// callFilter has the calls of a gate reported, of openat those that may create a file.
func callFilter() (filter []unix.SockFilter) {
	load := func(offset uint32) {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset})
	}
	back := func(value uint32) {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: value})
	}
	test := func(kind uint16, value uint32, skipUnless uint8) {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | kind | unix.BPF_K, K: value, Jf: skipUnless})
	}
	load(numberOffset)
	for number := range callNames {
		if number == unix.SYS_OPENAT {
			continue
		}
		test(unix.BPF_JEQ, uint32(number), 1)
		back(unix.SECCOMP_RET_USER_NOTIF)
	}
	test(unix.BPF_JEQ, unix.SYS_OPENAT, 3)
	load(openFlagsOffset)
	test(unix.BPF_JSET, unix.O_CREAT, 1)
	back(unix.SECCOMP_RET_USER_NOTIF)
	back(unix.SECCOMP_RET_ALLOW)
	return filter
}
