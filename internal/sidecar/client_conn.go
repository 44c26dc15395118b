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
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/httpmessage"
	"barleywick/internal/sidecar/socket"
)

// clientConn is a client's connection. Three acts on it exclude each other: closing it between
// requests, reading from it, and beginning a request. net/http calls a connection idle until it has
// read a request's header. If the connection were closed over bytes that were read, the request would
// be lost: its client believes it to be in progress. If a request were begun although the connection
// was closed before the read, it could run twice: its client sends it again.
type clientConn struct {
	*net.TCPConn
	raw                 syscall.RawConn // nil where there is none, as in tests
	acceptedAt          time.Time
	awaitingFirstHeader atomic.Bool // the first request's header has not been read
	responseWritten     atomic.Bool // something was written since endRequest
	requests            int         // whose headers were read; net/http serves one at a time
	entry               admission.Conn[*clientConn]
	gate                *gate.Gate // nil: nothing is counted

	mu           sync.Mutex
	state        connState
	partialRead  bool                     // a part of a request was read, and not its whole header
	responseOwed bool                     // a part of a request was read that has no response
	refusalSent  chan struct{}            // closed when refusePartial is done; nil: it isn't called
	emptyAt      time.Time                // when there was last nothing to read
	arrivedAt    time.Time                // the earliest time at which the bytes read last can have arrived
	head         httpmessage.HeadRecorder // of the next request

	reading  pendingRead // the call of Read in progress; net/http never makes two
	readFunc func(fd uintptr) bool
	readHook func() // set by tests: called in the middle of a read
}

// pendingRead is what a call of Read shares with readAvailable.
type pendingRead struct {
	buf    []byte
	n      int
	waited bool // there was nothing to read at first
	err    error
}

// connState says whether a clientConn may be closed, read from, or begin a request.
type connState int

const (
	connIdle   connState = iota // between requests, or before the first
	connBusy                    // a request is in progress
	connClosed                  // nothing is read any more, no request is begun
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

// Read reads what has arrived. On a connection that closeIdle has closed it reads nothing.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 0 || c.raw == nil {
		return c.TCPConn.Read(b)
	}
	r := &c.reading
	r.buf, r.waited = b, false
	err := c.raw.Read(c.readFunc)
	r.buf = nil
	switch {
	case err != nil:
		return 0, err
	case r.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: r.err}
	case r.n == 0:
		return 0, io.EOF
	}
	return r.n, nil
}

// readAvailable reads without blocking, and reports whether the read is complete: if not, the runtime
// calls it again when the socket is readable.
func (c *clientConn) readAvailable(fd uintptr) (complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.reading
	r.n, r.err = 0, nil
	if c.state == connClosed {
		r.err = net.ErrClosed
		return true
	}
	if c.state == connBusy { // net/http reads only to see whether the client closes its side
		if n, err := socket.Peek(fd); err == nil && n > 0 {
			// The next request has begun to arrive. It stays unread until this one is answered, but it
			// must not hide that the client has closed its side.
			return socket.HungUp(fd)
		}
	}
	n, err := syscall.Read(int(fd), r.buf)
	for err == syscall.EINTR {
		n, err = syscall.Read(int(fd), r.buf)
	}
	if err == syscall.EAGAIN {
		c.emptyAt, r.waited = time.Now(), true
		return false
	}
	if err != nil {
		r.err = os.NewSyscallError("read", err)
		return true
	}
	if c.readHook != nil {
		c.readHook()
	}
	r.n = n
	c.noteReadLocked(r.buf[:max(n, 0)])
	return true
}

// noteReadLocked records bytes that were read, none at the end of the stream.
func (c *clientConn) noteReadLocked(b []byte) {
	if c.reading.waited {
		c.arrivedAt = time.Now() // the read was waiting for them
	} else if c.arrivedAt.Before(c.emptyAt) {
		c.arrivedAt = c.emptyAt // they were there already
	}
	c.partialRead = c.partialRead || len(b) > 0
	c.responseOwed = c.responseOwed || len(b) > 0
	c.head.Record(b)
}

// headerRead records that a request's header has been read.
func (c *clientConn) headerRead() {
	c.awaitingFirstHeader.Store(false)
	c.mu.Lock()
	c.partialRead = false
	c.head.Reset() // a client that keeps to the protocol sends nothing more before the response
	c.mu.Unlock()
}

// requestArrivedAt returns the earliest time at which the request that was read can have arrived. Its
// client's timeout has run since then, while this process was busy or the connection waited.
func (c *clientConn) requestArrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivedAt
}

// chunkedWithoutLength reports whether a chunked request, whose header was just read, is certain to
// have no Content-Length beside its chunks.
func (c *clientConn) chunkedWithoutLength(hr *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A head that was read together with the request before has not been recorded.
	return c.head.HasPrefix(hr.Method+" "+hr.RequestURI+" ") && c.head.ChunkedWithoutLength(1)
}

// SetReadDeadline lets the timeout for the first header count from the accept. net/http counts it
// from the moment in which it was handed the connection.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if deadline := c.acceptedAt.Add(readHeaderTimeout); c.awaitingFirstHeader.Load() && t.After(deadline) {
		t = deadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

// bodyDeadline returns the time by which the body must have arrived of the request whose header was
// read at now. The first request's timeout counts from the accept, so that a client that stops in the
// middle of a request does not hold its connection for longer.
func (c *clientConn) bodyDeadline(now time.Time) time.Time {
	if c.requests == 1 {
		return c.acceptedAt.Add(readRequestTimeout)
	}
	return now.Add(readRequestTimeout)
}

// ClosedByClient reports whether the client has closed the connection. It may have done so long ago,
// if its request waited unread.
func (c *clientConn) ClosedByClient() bool {
	closed := false
	return c.raw != nil && c.raw.Control(func(fd uintptr) {
		n, err := socket.Peek(fd)
		closed = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET) || socket.HungUp(fd)
	}) == nil && closed
}

// beginRequest reports whether the request that was read may be acted on: it may not if the
// connection was closed meanwhile.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle {
		return false
	}
	c.state, c.partialRead, c.responseOwed = connBusy, false, true
	c.head.Reset()
	return true
}

// endRequest records that the request has been answered.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connBusy {
		c.state = connIdle
	}
	c.responseOwed, c.emptyAt = false, time.Now() // a client sends nothing before it has the response
	c.responseWritten.Store(false)
}

// Write writes a part of a response. If the client does not take it in time, the close discards what
// is unsent instead of leaving the connection to the kernel until that gives up.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.responseWritten.Store(err == nil)
	if err != nil {
		c.SetLinger(0)
	}
	return n, err
}

// errClientVanished is the error for a connection that its client closed before it sent anything.
var errClientVanished = errors.New("closed by the client before its first byte")

// awaitFirstByte waits, without reading, until there is something to read.
func (c *clientConn) awaitFirstByte() error {
	if err := c.SetReadDeadline(c.acceptedAt.Add(readHeaderTimeout)); err != nil {
		return err
	}
	var n int
	var peekErr error
	waited := false
	err := c.raw.Read(func(fd uintptr) bool {
		if n, peekErr = socket.Peek(fd); errors.Is(peekErr, syscall.EAGAIN) {
			waited = true
			return false
		}
		if waited {
			c.mu.Lock()
			c.emptyAt = time.Now() // it has just arrived
			c.mu.Unlock()
		}
		return true
	})
	switch {
	case err != nil:
		return err // the deadline, or closed here
	case peekErr != nil || n == 0:
		return errClientVanished
	}
	return nil
}

type connKey struct{}

// contextWithConn is the HTTP server's ConnContext: it lets the handler find a request's connection.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
