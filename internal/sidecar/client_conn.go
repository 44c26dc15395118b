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
	"barleywick/internal/httpinput"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/httpmessage"
	"barleywick/internal/socket"
	"barleywick/policy"
)

// clientConn is a client's connection. Three operations on it are mutually exclusive: closing it between
// requests, reading from it, and beginning a request. net/http reports a connection as idle until it has
// read the whole header of a request. If the connection were closed after a part of a request had been
// read, the request would be lost: its client assumes that it is in progress. If a request were begun
// after the connection had been closed, it could run twice: its client sends it again.
type clientConn struct {
	*net.TCPConn
	raw                 syscall.RawConn // nil in tests without a socket
	acceptedAt          time.Time
	establishedAt       time.Time   // at the latest; it may have waited in the backlog before acceptedAt
	awaitingFirstHeader atomic.Bool // the first request's header has not been read
	responseWritten     atomic.Bool // response bytes were written since endRequest
	heard               bool        // a byte has arrived; guarded by the listener's lock
	useful              bool        // a request has been accepted; guarded by the listener's lock
	requests            int         // number of requests read, without health checks; net/http serves one at a time
	entry               admission.Conn[*clientConn]
	gate                *gate.Gate // nil: decisions are not counted

	mu              sync.Mutex
	state           connState
	partialRead     bool                     // bytes were read since the last complete header, and no request was begun
	responsePending bool                     // a request was read, at least in part, and has no response yet
	refusalSent     chan struct{}            // closed when refusePartial has returned; nil: it is not called
	emptyAt         time.Time                // when the receive buffer was last seen empty
	arrivedAt       time.Time                // earliest possible arrival of the bytes read last
	head            httpmessage.HeadRecorder // records the head of the next request if input is nil
	input           *httpinput.Input         // nil: net/http gets all bytes as they arrive, which it does only in tests
	memory          *httpinput.Memory        // of input
	scheduling      *schedulingDelay         // of this process; nil: it is not measured
	nextRequestAt   time.Time                // the next request is not read before this time

	reading  pendingRead // state of the Read call in progress; net/http never makes two at a time
	readFunc func(fd uintptr) bool
	readHook func() // set by tests: called during a read
}

// pendingRead is the state that a call of Read shares with readAvailable.
type pendingRead struct {
	buf    []byte
	n      int
	waited bool // the read had to wait for data
	err    error
}

// connState determines which operations on a clientConn are allowed: close, read, begin a request.
type connState int

const (
	connIdle   connState = iota // between requests, or before the first
	connBusy                    // a request is in progress
	connClosed                  // no more reads, and no request is begun
)

func newClientConn(nc *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: nc, acceptedAt: time.Now()}
	c.arrivedAt, c.establishedAt = c.acceptedAt, c.acceptedAt
	c.raw, _ = nc.SyscallConn()
	c.readFunc = c.readAvailable
	c.awaitingFirstHeader.Store(true)
	c.entry.Owner = c
	return c
}

// Read returns the bytes that have arrived. It fails on a connection that closeIdle has closed.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 0 || c.raw == nil {
		return c.TCPConn.Read(b)
	}
	c.awaitNextRequest()
	r := &c.reading
	r.buf = b
	err := c.readInput(c.readFunc)
	r.buf = nil
	switch {
	case err != nil:
		return 0, err
	case r.n == 0:
		return 0, io.EOF
	}
	return r.n, nil
}

// readAvailable reads without blocking, and reports whether the read is complete. If it is not, the
// runtime calls readAvailable again when the socket is readable.
func (c *clientConn) readAvailable(fd uintptr) (complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.reading
	r.n, r.err = 0, nil
	if c.state == connClosed {
		r.err = net.ErrClosed
		return true
	}
	if c.input != nil {
		return c.readInputLocked(fd)
	}
	if c.state == connBusy { // net/http reads only to detect that the client closes its side
		if n, err := socket.Peek(fd); err == nil && n > 0 {
			// The next request has begun to arrive. It stays unread until the current one has been
			// answered, but a close by the client must still be detected.
			return socket.PeerClosed(fd)
		}
	}
	n, err := socket.Read(fd, r.buf)
	if complete = c.endReadLocked(n, err); complete && r.err == nil {
		if c.readHook != nil {
			c.readHook()
		}
		c.recordReadLocked(r.buf[:r.n])
	}
	return complete
}

// endReadLocked stores the result of a read from the socket, and reports whether the read is complete.
func (c *clientConn) endReadLocked(n int, err error) (complete bool) {
	r := &c.reading
	if errors.Is(err, syscall.EAGAIN) {
		c.recordEmptyLocked()
		return false
	}
	if err != nil {
		r.err = os.NewSyscallError("read", err)
		return true
	}
	r.n = max(n, 0)
	return true
}

// recordEmptyLocked records that the receive buffer is empty.
func (c *clientConn) recordEmptyLocked() { c.emptyAt, c.reading.waited = time.Now(), true }

// recordReadLocked records bytes that were read; b is empty at the end of the stream.
func (c *clientConn) recordReadLocked(b []byte) {
	if c.reading.waited {
		// The read waited for these bytes. They have arrived since the receive buffer was empty, and may have
		// waited for this goroutine.
		if c.arrivedAt = time.Now().Add(-c.scheduling.estimate()); c.arrivedAt.Before(c.emptyAt) {
			c.arrivedAt = c.emptyAt
		}
	} else if c.arrivedAt.Before(c.emptyAt) {
		c.arrivedAt = c.emptyAt // the bytes had arrived before the read
	}
	c.partialRead = c.partialRead || len(b) > 0
	c.responsePending = c.responsePending || len(b) > 0
	if c.input == nil {
		c.head.Record(b)
	}
}

// headerRead records that a request's header has been read.
func (c *clientConn) headerRead() {
	c.awaitingFirstHeader.Store(false)
	c.mu.Lock()
	c.partialRead = false
	c.head.Reset() // a conforming client sends nothing more before it has the response
	c.mu.Unlock()
}

// requestArrivedAt returns the earliest time at which the request that was read can have arrived. The
// client's timeout has been running since then, even if the connection waited for admission or this
// process read it late.
func (c *clientConn) requestArrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivedAt
}

// chunkedWithoutLength reports whether a chunked request, whose header has just been read, certainly has
// no Content-Length field.
func (c *clientConn) chunkedWithoutLength(hr *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.input != nil {
		return c.input.ChunkedWithoutLength()
	}
	// The head is not recorded if it was read together with the previous request.
	return c.head.HasPrefix(hr.Method+" "+hr.RequestURI+" ") && c.head.ChunkedWithoutLength(1)
}

// SetReadDeadline limits the first header's read deadline to readHeaderTimeout after the connection was
// accepted. net/http counts the timeout from the moment Accept returns the connection.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if deadline := c.acceptedAt.Add(readHeaderTimeout); c.awaitingFirstHeader.Load() && t.After(deadline) {
		t = deadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

// bodyDeadline returns the deadline for the body of the request whose header was read at now. The first
// request's timeout counts from the accept, so that a client that stops in the middle of a request cannot
// keep its connection for longer.
func (c *clientConn) bodyDeadline(now time.Time) time.Time {
	if c.requests == 1 {
		return c.acceptedAt.Add(readRequestTimeout)
	}
	return now.Add(readRequestTimeout)
}

// ClosedByClient reports whether the client has closed the connection, or may have closed it without this
// being known. The close may have happened long before the client's request is read, if the connection waited
// for admission.
func (c *clientConn) ClosedByClient() bool {
	if c.raw == nil {
		return false
	}
	facts := policy.ClientFacts{Unread: c.pendingBytes()}
	err := c.raw.Control(func(fd uintptr) {
		n, err := socket.Peek(fd)
		facts.Closed = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET) || socket.PeerClosed(fd)
		if n > 0 {
			facts.Unread += socket.UnreadBytes(fd)
		}
	})
	return err == nil && facts.Gone()
}

// beginRequest marks the request that was read as in progress. It returns false if the connection was
// closed in the meantime: the request must not be processed then.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle {
		return false
	}
	c.state, c.partialRead, c.responsePending = connBusy, false, true
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
	c.responsePending, c.emptyAt = false, time.Now() // a client sends its next request only after the response
	if c.input != nil && c.input.Next() {
		c.partialRead, c.responsePending = true, true
	}
	c.responseWritten.Store(false)
}

// Write writes part of a response. If the write fails, as when the client does not read before the write
// deadline, the close discards unsent data. Otherwise the kernel would keep the connection until its own
// retransmission timeout.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.responseWritten.Store(err == nil)
	if err != nil {
		c.SetLinger(0)
	}
	return n, err
}

// errClosedBeforeFirstByte is returned for a connection that its client closed without sending anything.
var errClosedBeforeFirstByte = errors.New("connection closed by the client before its first byte")

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
			c.emptyAt = time.Now().Add(-c.scheduling.estimate()) // the first byte has just arrived
			c.mu.Unlock()
		}
		return true
	})
	switch {
	case err != nil:
		return err // the deadline has passed, or this process closed the connection
	case peekErr != nil || n == 0:
		return errClosedBeforeFirstByte
	}
	return nil
}

// sinceEstablished returns how long ago the kernel has established the connection, or 0 if that is not known.
func (c *clientConn) sinceEstablished() (age time.Duration) {
	_ = c.raw.Control(func(fd uintptr) { age = socket.SinceLastAck(fd) })
	return age
}

type connKey struct{}

// contextWithConn is the HTTP server's ConnContext callback: it makes a request's connection available to
// the handler.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
