package sidecar

import (
	"errors"
	"io"
	"net"
	"time"

	"barleywick/internal/httpinput"
)

// limitInput makes the connection take its requests through an input.
func (c *clientConn) limitInput(memory *httpinput.Memory) {
	c.memory = memory
	c.input = httpinput.NewInput(memory, func() { c.SetReadDeadline(time.Now()) })
}

// readInput calls read, with the socket, until it returns true. It returns the error that read has stored in
// c.reading, or that of the socket. If there is no memory for a request it waits for a short time.
func (c *clientConn) readInput(read func(fd uintptr) bool) error {
	r := &c.reading
	for attempt := 0; ; attempt++ {
		r.n, r.waited, r.err = 0, false, nil
		err := c.raw.Read(read)
		switch {
		case err != nil:
			if c.input != nil {
				c.refuse(c.input.RefuseLate)
			}
			return err
		case r.err == nil:
			return nil
		case !errors.Is(r.err, httpinput.ErrNoRoom):
			return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: r.err}
		case !c.memory.AwaitRoom(attempt):
			c.refuse(c.input.RefuseForMemory)
		}
	}
}

// refuse calls a method of the input that refuses the current request.
func (c *clientConn) refuse(how func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	how()
}

// readInputLocked reads like readAvailable, through the connection's input.
func (c *clientConn) readInputLocked(fd uintptr) (complete bool) {
	wasPassing := c.input.Passing()
	n, result, err := c.input.Read(fd, c.reading.buf, c.recordReadLocked)
	if result == httpinput.Ready && !wasPassing && c.readHook != nil {
		c.readHook()
	}
	c.reading.n = n
	return c.endInputReadLocked(result, err)
}

// endInputReadLocked stores the result of a read through the input, and reports whether the read is complete.
func (c *clientConn) endInputReadLocked(result httpinput.Result, err error) (complete bool) {
	switch result {
	case httpinput.Awaited:
		c.recordEmptyLocked()
		c.limitInputTimeLocked()
		return false
	case httpinput.Failed:
		c.reading.err = err
	}
	return true
}

// limitInputTimeLocked sets the deadline of a request that has begun to arrive. That of a connection's first request
// counts from the accept.
func (c *clientConn) limitInputTimeLocked() {
	begunAt := time.Now()
	if c.awaitingFirstHeader.Load() {
		begunAt = c.acceptedAt
	}
	if deadline, changed := c.input.Deadline(begunAt, readHeaderTimeout, readRequestTimeout); changed {
		c.TCPConn.SetReadDeadline(deadline)
	}
}

// awaitRequest waits until the first request may be passed on to net/http.
func (c *clientConn) awaitRequest() error {
	if c.input == nil {
		return nil
	}
	err := c.readInput(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.state == connClosed {
			c.reading.err = net.ErrClosed
			return true
		}
		return c.endInputReadLocked(c.input.Await(fd, c.recordReadLocked))
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.input.Passing() {
		return io.ErrUnexpectedEOF
	}
	c.awaitingFirstHeader.Store(false)
	return nil
}

// awaitNextRequest waits until the next request may begin, if the connection's last answers came too fast.
func (c *clientConn) awaitNextRequest() {
	c.mu.Lock()
	wait := time.Duration(0)
	if !c.nextRequestAt.IsZero() && c.state == connIdle {
		wait = time.Until(c.nextRequestAt)
		c.nextRequestAt = time.Time{}
	}
	c.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

// delayNextRequest makes the connection's next request wait, after an answer that no booking server made, if such
// answers come too fast.
func (c *clientConn) delayNextRequest() {
	if c.input == nil {
		return
	}
	if c.scheduling != nil {
		c.scheduling.watch()
	}
	if delay := c.input.Unserved(); delay > 0 {
		c.mu.Lock()
		c.nextRequestAt = time.Now().Add(delay)
		c.mu.Unlock()
	}
}

// pendingBytes returns how many bytes were read and not passed on to net/http.
func (c *clientConn) pendingBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.input == nil {
		return 0
	}
	return c.input.PendingBytes()
}

// reserveBody reserves memory for a body of the given length, negative if it is not known, unless it is short or has
// been read. It reports whether the limits allow the body.
func (c *clientConn) reserveBody(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.input.ReserveBody(length)
}
