package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"barleywick/internal/admission"
)

// clientConn is a client's connection. Closing it between requests, reading from it
// and taking a request from it exclude each other: net/http calls a connection idle
// until it has read a request's header. A request that was read when its connection is
// closed is lost, for its client takes it to be in work; one that was not, the client
// sends once more, and if the first one were taken all the same, an unsafe request could
// run twice.
type clientConn struct {
	*net.TCPConn
	raw                 syscall.RawConn // nil where there is none, as in tests
	acceptedAt          time.Time
	awaitingFirstHeader atomic.Bool // its first header is not whole yet
	responseWritten     atomic.Bool // something was written since it rested last
	requests            int         // whose headers were read; net/http serves one at a time
	entry               admission.Conn[*clientConn]
	gate                *gate // counts; nil: nobody does

	mu           sync.Mutex
	state        connState
	partialRead  bool          // something was read that is of no request whose header was
	responseOwed bool          // something of a request was read that has got no answer
	refusalSent  chan struct{} // closed once that answer is out, where the connection ends with it; nil: it does not
	emptyAt      time.Time     // when there was nothing to read last
	arrivedAt    time.Time     // the earliest time at which what was read last can have come
	head         headRecorder  // what came first of the next request

	// Of the one read under way; net/http never has two.
	readBuf    []byte
	readLen    int
	readWaited bool // there was nothing to read at first
	readErr    error
	readFunc   func(fd uintptr) bool
	readHook   func() // called in the middle of a read, in tests; nil: nothing is
}

type connState int

const (
	connIdle connState = iota // between requests, or before the first
	connBusy                  // a request of it has been taken
	connClosed
)

func newClientConn(nc *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: nc, acceptedAt: time.Now()}
	c.arrivedAt = c.acceptedAt
	c.raw, _ = nc.SyscallConn()
	c.readFunc = c.readAvailable
	c.awaitingFirstHeader.Store(true)
	c.entry.Owner = c
	return c
}

// Read reads what has come, unless the connection has been closed by then.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 0 || c.raw == nil {
		return c.TCPConn.Read(b)
	}
	c.readBuf, c.readWaited = b, false
	err := c.raw.Read(c.readFunc)
	c.readBuf = nil
	switch {
	case err != nil:
		return 0, err
	case c.readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.readErr}
	case c.readLen == 0:
		return 0, io.EOF
	}
	return c.readLen, nil
}

// readAvailable reads without waiting, and says whether that is the end of it.
func (c *clientConn) readAvailable(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readLen, c.readErr = 0, nil
	if c.state == connClosed {
		c.readErr = net.ErrClosed
		return true
	}
	if c.state == connBusy { // net/http reads on only to see whether the client leaves
		if n, err := peek(fd); err == nil && n > 0 {
			// The next request has begun to come: it stays unread until this one is answered, and
			// what stands before the client's end must not hide that.
			return hungUp(fd)
		}
	}
	n, err := syscall.Read(int(fd), c.readBuf)
	for err == syscall.EINTR {
		n, err = syscall.Read(int(fd), c.readBuf)
	}
	if err == syscall.EAGAIN {
		c.emptyAt, c.readWaited = time.Now(), true
		return false
	}
	if err != nil {
		c.readErr = os.NewSyscallError("read", err)
		return true
	}
	if c.readHook != nil {
		c.readHook()
	}
	if c.readWaited {
		c.arrivedAt = time.Now() // it was waited for, so it has come just now
	} else if c.arrivedAt.Before(c.emptyAt) {
		c.arrivedAt = c.emptyAt // it was there already, and came after the last look
	}
	c.readLen, c.partialRead = n, c.partialRead || n > 0
	c.responseOwed = c.responseOwed || n > 0
	c.head.record(c.readBuf[:max(n, 0)])
	return true
}

// headerRead takes that a request's header is whole.
func (c *clientConn) headerRead() {
	c.awaitingFirstHeader.Store(false)
	c.mu.Lock()
	c.partialRead = false
	c.head.reset() // a client that keeps to the protocol sends nothing more before it has the answer
	c.mu.Unlock()
}

// requestArrivedAt is when the request that was read last can have come whole at the earliest. While this
// process was busy, or the connection waited for its place, the client's time ran already.
func (c *clientConn) requestArrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivedAt
}

// chunkedWithoutLength says whether a request in chunks, whose header was just read, surely names no length.
func (c *clientConn) chunkedWithoutLength(hr *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// What was read with the last request is not seen here: then it is some other head.
	return c.head.hasPrefix(hr.Method+" "+hr.RequestURI+" ") && c.head.chunkedWithoutLength(1)
}

// SetReadDeadline keeps the first header to its time from connecting, which
// net/http counts from when it was handed the connection. That there is no
// deadline any more it says when the header has come.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if by := c.acceptedAt.Add(readHeaderTimeout); c.awaitingFirstHeader.Load() && t.After(by) {
		t = by
	}
	return c.TCPConn.SetReadDeadline(t)
}

// bodyDeadline is until when the body must have come of the request whose header was
// just read. The first one's budget counts from connecting: a client that stops
// in the middle of a request does not hold its connection for longer.
func (c *clientConn) bodyDeadline(now time.Time) time.Time {
	if c.requests == 1 {
		return c.acceptedAt.Add(readRequestTimeout)
	}
	return now.Add(readRequestTimeout)
}

// closedByClient says whether the client has closed the connection behind the request that was read
// last: it may have done so long ago, where the request waited unread.
func (c *clientConn) closedByClient() bool {
	gone := false
	return c.raw != nil && c.raw.Control(func(fd uintptr) {
		n, err := peek(fd)
		gone = err == nil && n == 0 || err == syscall.ECONNRESET || hungUp(fd)
	}) == nil && gone
}

// beginRequest is called before a request of the connection is acted on; if it returns
// false the request must be left alone.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle {
		return false
	}
	c.state, c.partialRead, c.responseOwed = connBusy, false, true
	c.head.reset()
	return true
}

// endRequest takes that the request which was taken is answered.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connBusy {
		c.state = connIdle
	}
	c.responseOwed, c.emptyAt = false, time.Now() // its client sends nothing before it has the answer
	c.responseWritten.Store(false)
}

// Write sends a part of an answer. A client that does not take it in time is not waited for: its
// connection is to end with the close, and not when the kernel has given up what is unsent.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if c.responseWritten.Store(err == nil); err != nil {
		c.SetLinger(0)
	}
	return n, err
}

// awaitFirstByte waits until there is something to read, without reading it, or
// returns why nothing will come.
func (c *clientConn) awaitFirstByte() error {
	if err := c.SetReadDeadline(c.acceptedAt.Add(readHeaderTimeout)); err != nil {
		return err
	}
	var n int
	var failed error
	waited := false
	err := c.raw.Read(func(fd uintptr) bool {
		if n, failed = peek(fd); failed == syscall.EAGAIN {
			waited = true
			return false
		}
		if waited {
			c.mu.Lock()
			c.emptyAt = time.Now() // as good as: it has come just now
			c.mu.Unlock()
		}
		return true
	})
	switch {
	case err != nil:
		return err // too late, or closed here
	case failed != nil || n == 0:
		return errClientVanished
	}
	return nil
}

// errClientVanished says that a client ended its connection before it sent anything.
var errClientVanished = errors.New("ended by the client")

type connKey struct{}

// contextWithConn lets a handler find the connection of its request.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
