// Package socket looks at TCP sockets without reading from them and without blocking.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek looks for a byte to read without taking it and without blocking.
func Peek(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		if n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return n, err
		}
	}
}

// HungUp reports whether the other end has closed its side, even if there is something left to read.
func HungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	for err == unix.EINTR {
		n, err = unix.Poll(fds, 0)
	}
	return err == nil && n == 1 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// State is what an idle probe finds.
type State int

// The states of a socket.
const (
	Idle     State = iota // open, with nothing to read
	Readable              // there is something to read
	Closed                // closed by the other end, or broken
)

// Probe looks at a socket without reading or blocking. It does not wait for a read in progress.
func Probe(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		switch n, err := Peek(fd); {
		case errors.Is(err, syscall.EAGAIN):
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// IsIdle reports whether a socket is open and has nothing to read.
func IsIdle(nc net.Conn) bool { return Probe(nc) == Idle }
