package httpinput

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"barleywick/internal/queue"
	"barleywick/internal/socket"
)

const (
	// refusalTimeout is how long the response to a partial request may take to be written.
	refusalTimeout = 250 * time.Millisecond
	// maxDiscard is how many bytes of a refused request are read before the close, which would reset the connection
	// otherwise, so that the client could lose the response.
	maxDiscard = 64 << 10
	// discardSize is how many of them are read at a time.
	discardSize = 4 << 10
)

// conn is a connection of a Listener. net/http reads from it.
type conn struct {
	*net.TCPConn
	listener   *Listener
	raw        syscall.RawConn
	acceptedAt time.Time
	node       queue.Node[*conn] // in Listener.awaited

	mu        sync.Mutex
	input     *Input
	delivered bool // net/http has it
	closed    bool
	nextAt    time.Time // the next request is not read before this time
}

func newConn(l *Listener, tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, listener: l, raw: raw, acceptedAt: time.Now()}
	c.input = NewInput(l.options.Memory, func() { tcp.SetReadDeadline(time.Now()) })
	c.node.Value = c
	return c, nil
}

// Read passes on the bytes of the current request.
func (c *conn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.awaitNext()
	result := Awaited
	err = c.readInput(func(fd uintptr) (Result, error) {
		n, result, err = c.input.Read(fd, b, ignoreRead)
		return result, err
	})
	switch {
	case err != nil:
		return 0, err
	case result == Ended:
		return 0, io.EOF
	}
	return n, nil
}

func ignoreRead([]byte) {}

// awaitRequest waits until the first request may be passed on.
func (c *conn) awaitRequest() error {
	c.SetReadDeadline(c.acceptedAt.Add(c.listener.options.HeadTimeout))
	result := Awaited
	err := c.readInput(func(fd uintptr) (_ Result, err error) {
		result, err = c.input.Await(fd, ignoreRead)
		return result, err
	})
	if err == nil && result == Ended {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readInput calls read, with the socket, until its result is not Awaited. If there is no memory for a request it waits
// for a short time.
func (c *conn) readInput(read func(fd uintptr) (Result, error)) error {
	for attempt := 0; ; attempt++ {
		var readErr error
		err := c.raw.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			var result Result
			if c.closed {
				readErr = net.ErrClosed
				return true
			}
			if result, readErr = read(fd); result == Awaited {
				c.limitTimeLocked()
			}
			return result != Awaited
		})
		switch {
		case err != nil:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.refuse(c.input.RefuseLate)
			}
			return err
		case readErr == nil:
			return nil
		case !errors.Is(readErr, ErrNoRoom):
			return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: readErr}
		case !c.listener.options.Memory.AwaitRoom(attempt):
			c.refuse(c.input.RefuseForMemory)
		}
	}
}

// limitTimeLocked sets the deadline of a request that has begun to arrive.
func (c *conn) limitTimeLocked() {
	begunAt := time.Now()
	if !c.delivered {
		begunAt = c.acceptedAt
	}
	if deadline, changed := c.input.Deadline(begunAt, c.listener.options.HeadTimeout, c.listener.options.RequestTimeout); changed {
		c.SetReadDeadline(deadline)
	}
}

// refuse calls a method of the input that refuses the current request.
func (c *conn) refuse(how func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	how()
}

// awaitNext waits until the next request may begin, if the connection's last answers came too fast.
func (c *conn) awaitNext() {
	c.mu.Lock()
	wait := time.Duration(0)
	if !c.nextAt.IsZero() {
		wait = time.Until(c.nextAt)
		c.nextAt = time.Time{}
	}
	c.mu.Unlock()
	time.Sleep(wait)
}

// endRequest prepares for the next request, once net/http has answered the current one.
func (c *conn) endRequest() {
	delay := time.Duration(0)
	if c.listener.options.PaceResponses {
		delay = c.input.Unserved()
	}
	c.input.EndRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input.Next()
	if delay > 0 {
		c.nextAt = time.Now().Add(delay)
	}
}

// Close closes the connection. A request that was refused before it was complete gets its response first.
func (c *conn) Close() error {
	c.mu.Lock()
	again := c.closed
	c.closed = true
	isRefused := c.input.Status() != 0
	c.input.Release()
	c.mu.Unlock()
	if !again && isRefused {
		c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		if _, err := io.WriteString(c.TCPConn, c.input.Refusal()); err == nil {
			c.discardArrived()
		}
	}
	return c.TCPConn.Close()
}

// discardArrived drops the bytes that have arrived, without waiting for more.
func (c *conn) discardArrived() {
	_ = c.raw.Control(func(fd uintptr) { // the connection is closed next, in any case
		buffer := make([]byte, discardSize)
		for range maxDiscard / discardSize {
			if n, err := socket.Read(fd, buffer); err != nil || n == 0 {
				return
			}
		}
	})
}
