package loadgen

import (
	"net"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports, without reading, whether the peer has closed a connection.
func ClosedByPeer(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != unix.EAGAIN
	})
	return closed || err != nil
}
