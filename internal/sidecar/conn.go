package sidecar

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"barleywick/internal/admission"
)

// clientConn is a client's connection. Closing it between requests and taking a
// request from it exclude each other: net/http calls a connection idle until it
// has read a request's header, and a client whose connection was closed meanwhile
// sends the request once more. If the first one were taken all the same, an
// unsafe request could run twice.
type clientConn struct {
	*net.TCPConn
	accepted time.Time
	state    atomic.Int32
	first    atomic.Bool // its first header is not whole yet
	requests int         // whose headers were read; net/http serves one at a time
	place    admission.Conn[*clientConn]
}

const (
	connIdle int32 = iota // between requests, or before the first
	connBusy              // a request of it has been taken
	connClosed
)

func newClientConn(nc *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: nc, accepted: time.Now()}
	c.first.Store(true)
	c.place.Owner = c
	return c
}

// SetReadDeadline keeps the first header to its time from connecting, which
// net/http counts from when it was handed the connection. That there is no
// deadline any more it says when the header has come.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if by := c.accepted.Add(readHeaderIn); c.first.Load() && t.After(by) {
		t = by
	}
	return c.TCPConn.SetReadDeadline(t)
}

// bodyBy is until when the body must have come of the request whose header was
// just read. The first one's budget counts from connecting: a client that stops
// in the middle of a request does not hold its connection for longer.
func (c *clientConn) bodyBy(now time.Time) time.Time {
	if c.requests == 1 {
		return c.accepted.Add(requestIn)
	}
	return now.Add(requestIn)
}

// take is called before a request of the connection is acted on; if it returns
// false the request must be left alone.
func (c *clientConn) take() bool { return c.state.CompareAndSwap(connIdle, connBusy) }

// closeIdle closes the connection unless a request of it has been taken.
func (c *clientConn) closeIdle() bool {
	idle := c.state.CompareAndSwap(connIdle, connClosed)
	if idle {
		c.Close()
	}
	return idle
}

// awaitFirst waits until there is something to read, without reading it, or
// returns why nothing will come.
func (c *clientConn) awaitFirst() error {
	if err := c.SetReadDeadline(c.accepted.Add(readHeaderIn)); err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, failed = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return failed != syscall.EAGAIN && failed != syscall.EINTR
	})
	switch {
	case err != nil:
		return err // too late, or closed here
	case failed != nil || n == 0:
		return errVanished
	}
	return nil
}

// errVanished says that a client ended its connection before it sent anything.
var errVanished = errors.New("ended by the client")

// unreadMost bounds what is read of a request that is refused unread.
const unreadMost = 16 << 10

// discardUnread reads what has come so far, without waiting for more: a connection
// that is closed with bytes unread is reset, and its client may lose the answer.
func (c *clientConn) discardUnread() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		b := make([]byte, unreadMost)
		syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
	})
}

type connKey struct{}

// withConn lets a handler find the connection of its request.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
