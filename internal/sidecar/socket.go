package sidecar

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peek looks for a byte to read without taking it and without blocking.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		if n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return n, err
		}
	}
}

// hungUp reports whether the other end has closed its side, even if there is something left to read.
func hungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	for err == unix.EINTR {
		n, err = unix.Poll(fds, 0)
	}
	return err == nil && n == 1 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// socketState is what an idle probe finds.
type socketState int

const (
	socketIdle     socketState = iota // open, with nothing to read
	socketReadable                    // there is something to read
	socketClosed                      // closed by the other end, or broken
)

// probeIdle looks at a socket without reading or blocking. It does not wait for a read in progress.
func probeIdle(nc net.Conn) socketState {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return socketClosed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return socketClosed
	}
	state := socketClosed
	err = raw.Control(func(fd uintptr) {
		switch n, err := peek(fd); {
		case errors.Is(err, syscall.EAGAIN):
			state = socketIdle
		case err == nil && n > 0:
			state = socketReadable
		}
	})
	if err != nil {
		return socketClosed
	}
	return state
}

// isIdleSocket reports whether a socket is open and has nothing to read.
func isIdleSocket(nc net.Conn) bool { return probeIdle(nc) == socketIdle }
