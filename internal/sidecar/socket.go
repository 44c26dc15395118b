package sidecar

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peek looks, without reading or waiting, whether there is something to read.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		if n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return n, err
		}
	}
}

// hungUp says whether the peer has ended its side, whatever is still to be read before that.
func hungUp(fd uintptr) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	for err == unix.EINTR {
		n, err = unix.Poll(p, 0)
	}
	return err == nil && n == 1 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// socketState is what a look at a socket finds, without blocking.
type socketState int

const (
	socketIdle     socketState = iota // open, with nothing to read
	socketReadable                    // there is something to read
	socketClosed                      // the other end has closed it, or it is broken
)

// probeIdle looks at a socket without blocking. It goes past the lock of readers, one of which may be
// waiting on the socket.
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

// isIdleSocket says whether there is nothing to read on a socket and it is open.
func isIdleSocket(nc net.Conn) bool { return probeIdle(nc) == socketIdle }
