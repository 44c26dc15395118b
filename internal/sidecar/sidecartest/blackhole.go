package sidecartest

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// NewBlackHole returns an address at which a connection is neither established nor refused.
func NewBlackHole(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 { // nothing is accepted: the backlog fills up, and further connection attempts hang
		c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Skip("the backlog of a listening socket does not fill up on this kernel")
	return ""
}
