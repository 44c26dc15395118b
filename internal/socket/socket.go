// Package socket inspects TCP sockets without consuming data and without blocking.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Peek checks for a byte to read, without consuming it and without blocking. It returns 0 bytes at the
// end of the stream, and EAGAIN if there is nothing to read.
func Peek(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		if n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return n, err
		}
	}
}

// PeerClosed reports whether the peer has closed its side, even if there is unread data.
func PeerClosed(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	for err == unix.EINTR {
		n, err = unix.Poll(fds, 0)
	}
	return err == nil && n == 1 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// State is the state of a socket as found by Probe.
type State int

// The states of a socket.
const (
	Idle     State = iota // open, with nothing to read
	Readable              // there is unread data
	Closed                // closed by the peer, or failed
)

// Probe returns the state of a socket without consuming data and without blocking. It does not wait for
// a read in progress.
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

// Read reads what has arrived, without blocking. It returns 0 bytes at the end of the stream, and EAGAIN if
// there is nothing to read.
func Read(fd uintptr, b []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(int(fd), b); err != syscall.EINTR {
			return n, err
		}
	}
}

// UnreadBytes returns how many bytes have arrived and are not read, or 0 if that is not known.
func UnreadBytes(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// SinceLastAck returns the time since the peer acknowledged something, or 0 if that is not known. On a connection on
// which nothing has been sent, it is the time since the connection was established.
func SinceLastAck(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond
}
